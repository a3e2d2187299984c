"""Simulated replicas and the endpoint list: a pure model, servers on loopback, and a process of its own for the product's API."""
