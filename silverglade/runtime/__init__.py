"""The foundation of a daemon: components, events and effects, the daemon machine, settings, errors, structured logging."""
