"""Taking a guard out of the source, so that a test can show that the check fails without it."""

import importlib
import inspect
import types


def without(mp, module, old, new, *targets):
    """Put a copy of a module's functions, with one guard taken out, where they are used."""
    mod = importlib.import_module(module)
    src = inspect.getsource(mod)
    for a, b in zip(*((old, new) if isinstance(old, tuple) else ((old,), (new,)))):
        assert a in src, (module, a)
        src = src.replace(a, b)
    copy = types.ModuleType(module)
    copy.__dict__.update(__package__=mod.__package__, __file__=mod.__file__)
    exec(compile(src, mod.__file__, "exec"), copy.__dict__)
    for t in targets:
        place, name = t.rsplit(".", 1)
        mp.setattr(f"{place}.{name}", getattr(copy, name))
