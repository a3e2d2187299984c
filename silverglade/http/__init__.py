"""HTTP (design 2, 15): APIs for clients, replicas, the platform and operators, and the connection pool to replicas."""
