"""Shards (design 6): the requests of one tenant, their owner, and the follower that keeps a copy of the owner's claims."""
