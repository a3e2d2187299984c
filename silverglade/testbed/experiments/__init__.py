"""Experiments: what a fleet costs, how fast it recovers, how well it decides; in the simulator unless a module says otherwise."""
