"""Metrics (design 8.4), written out by library."""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily


class Shown:
    def __init__(self, rows):
        self.rows = rows

    def collect(self):
        yield from self.rows


async def exposition(d):
    _, st = await d.call("status", ())
    _, fl = await d.call("fleet", ())
    _, rs = await d.call("replicas", ())
    ev = CounterMetricFamily("silverglade_events", "Log events by name", labels=["event"])
    an = CounterMetricFamily("silverglade_results", "Final answers to visitors by code", labels=["code"])
    for k, n in sorted(d.counts.items()):
        if k.startswith("code-"):
            an.add_metric([k[5:]], n)
        else:
            ev.add_metric([k], n)
    rt = CounterMetricFamily("silverglade_retries", "Fresh orders, retries, retries refused", labels=["kind"])
    for k, n in st.get("retries", {}).items():
        rt.add_metric([k], n)
    g = GaugeMetricFamily("silverglade_state", "Numbers of this daemon", labels=["what"])
    for k, v in (
        ("news_age_ms", st["age_ms"]),
        ("view_epoch", st["view"][0]),
        ("live", len(fl["fleet"])),
        ("running", st.get("orders", {}).get("running", 0)),
        ("config_epoch", st["config"][0]),
        ("config_number", st["config"][1]),
        ("messages_dropped", d.links.dropped),
    ):
        g.add_metric([k], -1 if v is None else v)
    rep = GaugeMetricFamily("silverglade_replica_slots", "Slots by replica", labels=["replica", "what"])
    for i, r in rs["replicas"].items():
        for k in ("cap", "used", "running"):
            rep.add_metric([i, k], r[k] if r[k] is not None else -1)
    reg = CollectorRegistry()
    reg.register(Shown([ev, an, rt, g, rep]))
    return generate_latest(reg)
