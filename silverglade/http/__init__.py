"""HTTP (design 2, 15): the APIs of clients, replicas, the platform and operators; connections to replicas."""
