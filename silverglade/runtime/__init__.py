"""What all parts of a daemon rest on: components, events and effects, the daemon machine, settings, errors, the log."""
