"""`silverglade place` (design 12): assigns home zones to tenants with a constraint solver.

The command prints the result for the operator to review and apply; it changes nothing in the fleet.
"""

from __future__ import annotations

import argparse
import json
from typing import Any

from ..configuration.schema import parse_configuration
from ..configuration.validation import integer, list_of, mapping_of, one_of, record, text, validate
from ..runtime.errors import InvalidConfigurationError, InvalidConstraintsError, NoPlacementError

SOLVER_TIMEOUT_S = 20.0
LOAD_SCALE = 1000
"""The model has integer variables only, so loads are scaled to thousandths."""

MAX_USE = 10**12

Constraints = dict[str, Any]
"""The content of a constraints file, validated against `SPECIFICATION`."""

SPECIFICATION = record(
    {
        "zones": mapping_of(record({"region": text(), "capacity": integer(most=100000)}), least=1),
        "tenants": mapping_of(
            record(
                {
                    "burden": integer(default=1, least=1, most=100000),
                    "homes": integer(default=2, least=1, most=50),
                    "regions": integer(default=1, least=1, most=50),
                    "keep": list_of(text(), default=(), unique=True),
                    "avoid": list_of(text(), default=(), unique=True),
                }
            ),
            least=1,
        ),
        "apart": list_of(list_of(text(), least=2, unique=True), default=()),
        "survive": one_of("none", "zone", "region", default="zone"),
    }
)


def parse_constraints(raw: Any) -> Constraints:
    """Validate constraints and fill in their defaults.

    :raises InvalidConstraintsError: the constraints have errors, all of which are listed.
    """
    constraints: Constraints
    constraints, found = validate(SPECIFICATION, raw)
    errors = list(found) or _unknown_zones(constraints) or _unknown_tenants(constraints)
    if errors:
        raise InvalidConstraintsError("; ".join(f"{path}: {message}" for path, message in errors))
    return constraints


def _unknown_zones(constraints: Constraints) -> list[tuple[str, str]]:
    return [
        (f"tenants.{tenant}.{field}", f"unknown zone {zone}")
        for tenant, requirements in constraints["tenants"].items()
        for field in ("keep", "avoid")
        for zone in requirements[field]
        if zone not in constraints["zones"]
    ]


def _unknown_tenants(constraints: Constraints) -> list[tuple[str, str]]:
    return [
        (f"apart[{position}]", f"unknown tenant {tenant}")
        for position, group in enumerate(constraints["apart"])
        for tenant in group
        if tenant not in constraints["tenants"]
    ]


class PlacementModel:
    """The constraints as a model for the solver.

    :param is_explaining: make each constraint conditional on an assumption, so that the solver can return the conflicting ones.
    :ivar is_home: (tenant, zone) -> the variable that is true if the zone is a home of the tenant.
    :ivar reasons: index of an assumption -> description of the constraint that is conditional on it.
    """

    def __init__(self, constraints: Constraints, *, is_explaining: bool) -> None:
        from ortools.sat.python import cp_model

        self.model = cp_model.CpModel()
        self.reasons: dict[int, str] = {}
        self._is_explaining = is_explaining
        self._zones: dict[str, dict[str, Any]] = constraints["zones"]
        self._tenants: dict[str, dict[str, Any]] = constraints["tenants"]
        self.is_home = {(tenant, zone): self.model.new_bool_var(f"{tenant}@{zone}") for tenant in self._tenants for zone in self._zones}
        for tenant in self._tenants:
            self._add_homes(tenant)
        for group in constraints["apart"]:
            self._add_group_apart(group)
        self._add_loads(survives_loss=constraints["survive"] != "none")

    def _add_conditional(self, reason: str, constraint: Any) -> None:
        """Make a constraint conditional on an assumption, if conflicts are to be explained."""
        if self._is_explaining:
            assumption = self.model.new_bool_var(reason)
            self.reasons[assumption.index] = reason
            constraint.only_enforce_if(assumption)
            self.model.add_assumption(assumption)

    def _add_homes(self, tenant: str) -> None:
        """Add the constraints of one tenant: number of homes, zones to keep or avoid, least number of regions."""
        requirements, model, is_home = self._tenants[tenant], self.model, self.is_home
        homes = [is_home[tenant, zone] for zone in self._zones]
        self._add_conditional(f"{tenant} requires {requirements['homes']} homes", model.add(sum(homes) == requirements["homes"]))
        for zone in requirements["keep"]:
            self._add_conditional(f"{tenant} keeps {zone}", model.add(is_home[tenant, zone] == 1))
        for zone in requirements["avoid"]:
            self._add_conditional(f"{tenant} avoids {zone}", model.add(is_home[tenant, zone] == 0))
        zones_by_region: dict[str, list[str]] = {}
        for zone, row in self._zones.items():
            zones_by_region.setdefault(row["region"], []).append(zone)
        in_region = {region: model.new_bool_var(f"{tenant}#{region}") for region in zones_by_region}
        for region, zones in zones_by_region.items():
            model.add_max_equality(in_region[region], [is_home[tenant, zone] for zone in zones])
        self._add_conditional(
            f"{tenant} requires {requirements['regions']} regions", model.add(sum(in_region.values()) >= requirements["regions"])
        )

    def _add_group_apart(self, group: list[str]) -> None:
        """Add the constraints that no two tenants of a group share a zone."""
        for zone in self._zones:
            constraint = self.model.add(sum(self.is_home[tenant, zone] for tenant in group) <= 1)
            self._add_conditional(f"{' and '.join(group)} apart in {zone}", constraint)

    def _add_loads(self, *, survives_loss: bool) -> None:
        """Add the capacity of each zone, and the objective to minimize the load of the most loaded zone relative to its capacity.

        A tenant's load is divided equally between its homes. If the placement must survive a loss, each home gets the share that it
        carries when one of the others has failed.
        """
        shares = {}
        for tenant, requirements in self._tenants.items():
            remaining_homes = max(1, requirements["homes"] - (survives_loss and requirements["homes"] > 1))
            shares[tenant] = -(-requirements["burden"] * LOAD_SCALE // remaining_homes)
        loads = {zone: sum(shares[tenant] * self.is_home[tenant, zone] for tenant in self._tenants) for zone in self._zones}
        for zone, row in self._zones.items():
            self._add_conditional(f"capacity of {zone}", self.model.add(loads[zone] <= row["capacity"] * LOAD_SCALE))
        peak_use = self.model.new_int_var(0, MAX_USE, "top")
        for zone, row in self._zones.items():
            self.model.add(loads[zone] * 1000 <= peak_use * max(1, row["capacity"]))
        if not self._is_explaining:
            self.model.minimize(peak_use)


def solve(constraints: Constraints, *, seconds: float = SOLVER_TIMEOUT_S) -> dict[str, list[str]]:
    """Return each tenant's homes, in order of preference.

    :param seconds: time limit of the solver.
    :raises NoPlacementError: the listed constraints contradict each other, or no placement was found within the time limit.
    """
    from ortools.sat.python import cp_model

    solver = cp_model.CpSolver()
    solver.parameters.max_time_in_seconds = seconds
    solver.parameters.num_workers = 1
    solver.parameters.random_seed = 1
    placement = PlacementModel(constraints, is_explaining=False)
    if solver.solve(placement.model) in (cp_model.OPTIMAL, cp_model.FEASIBLE):
        return {tenant: _homes_in_order(constraints, tenant, solver, placement) for tenant in constraints["tenants"]}
    placement = PlacementModel(constraints, is_explaining=True)
    solver.solve(placement.model)
    conflict = [placement.reasons[index] for index in solver.sufficient_assumptions_for_infeasibility() if index in placement.reasons]
    raise NoPlacementError("; ".join(sorted(set(conflict))) or "no placement was found within the time limit")


def _homes_in_order(constraints: Constraints, tenant: str, solver: Any, placement: PlacementModel) -> list[str]:
    """Return a tenant's homes: zones to keep first, then by descending capacity, then by name."""
    capacities = {zone: row["capacity"] for zone, row in constraints["zones"].items()}
    homes = [zone for zone in capacities if solver.value(placement.is_home[tenant, zone])]
    kept = constraints["tenants"][tenant]["keep"]
    return sorted(homes, key=lambda zone: (zone not in kept, -capacities[zone], zone))


def add_parsers(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("place", help="compute tenants' homes from a constraints file")
    parser.add_argument("file")
    parser.add_argument("--config", default="", help="a configuration file to print with the computed homes")


def _load_json(path: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        raise InvalidConstraintsError(str(error)) from error


def run(arguments: argparse.Namespace) -> int:
    """Compute the homes for a constraints file and print them, or a configuration with these homes; returns the exit code."""
    raw = _load_json(arguments.file)
    configuration = _load_json(arguments.config) if arguments.config else None
    homes = solve(parse_constraints(raw))
    if configuration is None:
        print(json.dumps({"homes": homes}, indent=1, sort_keys=True))
        return 0
    for tenant, zones in homes.items():
        if tenant not in configuration.get("tenants", {}):
            raise InvalidConstraintsError(f"the configuration has no tenant {tenant}")
        configuration["tenants"][tenant]["homes"] = zones
    _, errors = parse_configuration(configuration)
    if errors:
        raise InvalidConfigurationError("; ".join(f"{path}: {message}" for path, message in errors))
    print(json.dumps(configuration, indent=1, sort_keys=True))
    return 0
