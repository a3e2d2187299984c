"""The simulator: daemons, disks, networks, replicas and clients on a seeded clock (design 10.1)."""
