"""Shards (design 6): one per tenant, with an owner that queues the tenant's requests and a follower that replicates its claims."""
