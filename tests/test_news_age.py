"""News under the worst cuts (design 5.7): nobody in touch is told an older version, and how old a proof is told to be."""

from silverglade.rehearsal.scene import Scene


def test_news_that_takes_longer_than_an_ask_waits_is_taken_when_it_comes():
    s = Scene(town="hamlet")
    s.settle(6)
    deliver = s.w.deliver

    def slowly(sender, to, body):
        s.w.rate = 2500 if body[0] == "news" else 20e6  # bytes a second
        deliver(sender, to, body)

    s.w.deliver = slowly
    s.put(at="core-north", grow=300)  # with the duties of 300 tenants some 3 s on its way
    s.w.run(20)
    shown = max(n.control.shown_version for n in s.w.nodes.values() if n.core)
    assert s.o.acked[-1][-1] <= shown and {n.peek("news", "held") for n in s.w.nodes.values()} == {shown}
    assert s.o.faults == []
