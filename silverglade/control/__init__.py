"""Replicated control (design 5): view changes, agreement on views, and the replicated store.

`core.ControlCore` is the state machine of one core. It dispatches to these modules:

- `view_change` adopts chosen views and starts proposals of new ones: `view_policy` and `placement` determine which view to propose,
  `view_proposer` proposes it, `witness` votes on it, and `register` is the consensus protocol;
- `replication` and `snapshots` replicate changes and the whole store;
- `decisions` evaluates operations, and `outcomes` recognises repeated ones;
- `liveness` sends and handles heartbeats between cores, and `peers` records them;
- `committed_items` sends committed items to daemons and to other cores.

`state` defines the state that they change, and `context` the access to it. `role_assigner` is a separate state machine.
`replicated_state` holds the queries on the store that other packages use. docs/control-safety.md argues why control is safe.
"""
