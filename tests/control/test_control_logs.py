"""What cores log of acknowledged changes and of their disks, so that the two can be compared after a loss."""

from silverglade.testbed.simulator.control_cluster import Council, Operator


def test_the_log_names_the_copies_of_each_acknowledged_change_and_what_each_disk_held_at_the_start():
    """Guards against a loss of acknowledged data whose log does not show which disks had it."""
    council = Council(seed=3, size=5, tolerance=(2, 1, 1))
    Operator(council, "operator")
    council.run(12)
    logged = [(name, event, dict(fields)) for _, name, event, fields in council.trace if event]
    view = next(fields for _, event, fields in reversed(logged) if event == "view")
    committed = [(name, fields) for name, event, fields in logged if event == "change-committed"]
    acknowledged = len(council.acked)
    assert acknowledged and sum("config" in fields["keys"].split(",") for _, fields in committed) >= acknowledged
    name, last = committed[-1]
    assert last["members"].split(",") == [name, *view["backups"].split(",")] and len(last["members"].split(",")) == 3
    disks = {name: fields["disk"] for name, event, fields in logged if event == "store-loaded"}
    assert len(disks) == 5
    assert set(view["witnesses"].split(",")) <= {f"{name}/{disk}" for name, disk in disks.items()}
