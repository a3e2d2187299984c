"""Control (design 5): views of cores, agreement on them, and the replicated store.

`core.ControlCore` is the state machine of one core. It dispatches to `view_change`, `seek`, `witness` and `register` (which view
follows which), `replication` and `snapshots` (changes, and the whole store), `decisions` (what becomes of an operation),
`liveness` and `heartbeat` (between cores) and `serving` (what daemons are told). `replicated_state` holds the queries on the
store that other packages use. docs/control-safety.md argues why control is safe.
"""
