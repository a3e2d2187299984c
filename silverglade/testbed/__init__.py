"""The test bed (design 10): a simulator, fleets of real processes, faults, checkers, a model checker, experiments."""
