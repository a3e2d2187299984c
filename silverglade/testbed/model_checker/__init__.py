"""A model checker over the real control parts: small scope, every interleaving up to a bound.

The parts are those of silverglade/control, stepped and copied; what is modelled is only what is around them: disks, the
network, time and operators (world.py). Explored are: delivery of any message in flight in any order, or late, or twice, or
never; the end of a disk's write, or its delay; crashes with what was not synced lost or kept; a lost disk; restarts; cuts
both ways and one way; freezes; time passing; operators' calls, sent again. An oracle of its own (invariants.py) judges
what operators and daemons are told.

Two bounds are used. By depth: every action that the budgets allow, up to so many steps. By deviations: the ordinary
schedule (deliver, sync, then let time pass) with so many exceptions to it, which reaches whole view changes; what ends a
trouble, or hands over a message that was held, costs nothing. Random walks go beyond both. States are hashed; two are one if
all cores, disks, messages, and what matters of the past are the same. Joined as well: calls of operators who could change
places (sent in one order), equal messages in flight, troubles at one core at moments between which nothing reached it.

What is left out: heartbeats between cores that can reach each other pass at once (so none overtakes another, and none is
late but before a frozen core), at most four from one core to another in one action; time passes in whole heartbeats and is
the same for all; disks fail only by delay, power and loss, never more of them than the tolerance names, and keep what they
synced; random delays are one fixed share for each core.
"""
