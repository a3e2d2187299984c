"""Makes the stored tables of a core (data/core_store.json) and what is read from them (data/core_store_expected.json).

`python -m tests.golden.make_core_store` plays a town in the simulator: some hundred changes of the configuration and evacuations
under traffic, with outcomes forgotten early, until a new primary is wanted and a core has accepted a view that it does not know
to be chosen yet. Its rows are then written by the real disk layer, and stand in the file as their bytes. Made once; a later run
by another version of the program is no proof of anything.
"""

import json
import pathlib
import sqlite3
import tempfile
from datetime import timedelta

from silverglade.runtime.settings import tuning
from silverglade.server.disk import DATABASE_FILE, DataFolder
from silverglade.testbed.simulator.scenario import Scene

from .core_store import EXPECTED, NAME, RECORDED, state_reached

SEED, CHANGES, EVACUATIONS = 11, 240, 12
KEPT = timedelta(seconds=20)
STEP, LONGEST = 0.002, 15000


def changed_town():
    """A town after many changes."""
    scene = Scene(town="hamlet", seed=SEED, opt=tuning(outcome_keep=KEPT))
    scene.settle()
    scene.traffic()
    zones = sorted(scene.w.region)
    for number in range(CHANGES):
        scene.put(kind="cap" if number % 4 else "")
        scene.w.run(0.3)
        if number % (CHANGES // EVACUATIONS) == 0:
            scene.empty(zones[number % len(zones)])
        if number % (CHANGES // EVACUATIONS) == 10:
            for zone in zones:
                scene.empty(zone, False)
    return scene


def wanted(tables):
    """Has this disk all that the file is to hold?"""
    register = tables.get("meta", {}).get("reg", {})
    return bool(register.get("view") and register["ballot"][0] and tables.get("claim") and "forgotten" in tables["book"])


def found(scene):
    """A core's disk and name at the moment when it has accepted a view."""
    primary = max((n.control.view for n in scene.w.nodes.values() if n.core and n.hub), key=lambda view: view[0])[1]
    scene.w.nodes[primary].kill()
    for _ in range(LONGEST):
        scene.w.run(STEP)
        for name in scene.w.cores:
            disk = scene.w.nodes[name].disk
            if wanted(disk.data):
                return name, disk
    raise SystemExit("no core has all that is wanted")


def raw_rows(folder):
    """The file's rows as their bytes, and its layout."""
    db = sqlite3.connect(pathlib.Path(folder) / DATABASE_FILE)
    rows = [[table, key, value.hex()] for table, key, value in db.execute("SELECT tab, key, val FROM kv ORDER BY tab, key")]
    (schema,) = db.execute("SELECT sql FROM sqlite_master WHERE type = 'table'").fetchone()
    layout = {
        "application_id": db.execute("PRAGMA application_id").fetchone()[0],
        "user_version": db.execute("PRAGMA user_version").fetchone()[0],
        "schema": schema,
    }
    db.close()
    return rows, layout


def main():
    scene = changed_town()
    core, disk = found(scene)
    with tempfile.TemporaryDirectory() as folder:
        store = DataFolder(folder=folder, name=core)
        store.write([("put", table, key, value) for table, held in disk.data.items() for key, value in held.items()])
        store.write([("put", "ident", "disk", disk.id)])
        store.close()
        rows, layout = raw_rows(folder)
    RECORDED.write_text(json.dumps({NAME: core, "layout": layout, "rows": rows}, separators=(",\n", ":")) + "\n", encoding="utf-8")
    with tempfile.TemporaryDirectory() as folder:
        EXPECTED.write_text(json.dumps(state_reached(folder), indent=1, sort_keys=True) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
