"""Replicated control (design 5): view changes, agreement on views, and the replicated store.

`core.ControlCore` is the state machine of one core. It dispatches to these modules:

- `view_change`, `view_proposer`, `witness` and `register` choose the sequence of views;
- `replication` and `snapshots` replicate changes and the whole store;
- `decisions` evaluates operations;
- `liveness` and `peers` handle heartbeats between cores;
- `committed_items` sends committed items to daemons and to other cores.

`replicated_state` holds the queries on the store that other packages use. docs/control-safety.md argues why control is safe.
"""
