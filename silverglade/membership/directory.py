"""Which daemons the directory names to a client (design 15.7): pure, over the roll and the configuration."""

from .member import REGION, STATE, ZONE, extra

FEW = 2  # so many daemons of a zone are enough for its clients


def serving(roll):
    """(record, address for clients) of the daemons that are ready and serve."""
    return [(r, address) for r in roll if r[STATE] == "ready" and extra(r, "serves") and (address := extra(r, "front", ""))]


def home_regions(configuration, host):
    """The regions that all routes of this host with homes may be served in; those of any, if they share none; () without homes."""
    homes = [set(r["homes"]) for r in (configuration or {}).get("routes", ()) if r["homes"] and r["host"].lower() == host.lower()]
    return (set.intersection(*homes) or set.union(*homes)) if homes else ()


def addresses_for_client(roll, configuration, *, host, region, zone):
    """Addresses of the zone's daemons; where it has fewer than two, of the region's; where that has none, of the homes' regions,
    from where no body need go further; else all."""
    ready = serving(roll)
    near = [address for r, address in ready if r[ZONE] == zone]
    if len(near) >= FEW:
        return near
    here = [address for r, address in ready if r[REGION] == region]
    return here or at_home(ready, configuration, host) or [address for _, address in ready]


def at_home(ready, configuration, host):
    """Addresses of the daemons in the home regions of this host."""
    homes = home_regions(configuration, host)
    return [address for r, address in ready if r[REGION] in homes]
