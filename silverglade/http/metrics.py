"""Metrics (design 8.4) in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from ..server.daemon import Daemon

RESULT_PREFIX = "code-"
"""Prefix of final results, by code, among the daemon's counts; all other counts are of log events."""

UNKNOWN = -1


class CollectedMetrics(Collector):
    """A collector of metrics that have already been collected."""

    def __init__(self, metrics: list[Metric]) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Metric]:
        """Return the metrics."""
        return self._metrics


async def exposition(daemon: Daemon) -> bytes:
    """Return all metrics of a daemon in the Prometheus text format."""
    _, status = await daemon.call("status", ())
    _, fleet = await daemon.call("fleet", ())
    _, replicas = await daemon.call("replicas", ())
    events, results = _counts(daemon.event_counts)
    cut_counts = daemon.forwarder.cut_responses.counts
    faults = _counter("silverglade_request_faults", "Faults of the program that ended one request or call", "what", daemon.faults.counts)
    cuts = _counter("silverglade_responses_cut", "Client connections closed without a complete response", "why", cut_counts)
    metrics = [events, results, faults, cuts, _retries(status), _state(daemon, status, fleet), _replica_slots(replicas)]
    registry = CollectorRegistry()
    registry.register(CollectedMetrics(metrics))
    return generate_latest(registry)


def _counter(name: str, text: str, label: str, counts: Mapping[str, int]) -> Metric:
    metric = CounterMetricFamily(name, text, labels=[label])
    for value, count in sorted(counts.items()):
        metric.add_metric([value], count)
    return metric


def _counts(counts: Mapping[str, int]) -> tuple[Metric, Metric]:
    events = CounterMetricFamily("silverglade_events", "Log events by name", labels=["event"])
    results = CounterMetricFamily("silverglade_results", "Final answers to visitors by code", labels=["code"])
    for name, count in sorted(counts.items()):
        if name.startswith(RESULT_PREFIX):
            results.add_metric([name.removeprefix(RESULT_PREFIX)], count)
        else:
            events.add_metric([name], count)
    return events, results


def _retries(status: Mapping[str, Any]) -> Metric:
    metric = CounterMetricFamily("silverglade_retries", "Fresh orders, retries, retries refused", labels=["kind"])
    for kind, count in status.get("retries", {}).items():
        metric.add_metric([kind], count)
    return metric


def _state(daemon: Daemon, status: Mapping[str, Any], fleet: Mapping[str, Any]) -> Metric:
    metric = GaugeMetricFamily("silverglade_state", "Numbers of this daemon", labels=["what"])
    for name, value in (
        ("news_age_ms", status["age_ms"]),
        ("view_epoch", status["view"][0]),
        ("live", len(fleet["fleet"])),
        ("running", status.get("orders", {}).get("running", 0)),
        ("config_epoch", status["config"][0]),
        ("config_number", status["config"][1]),
        ("messages_dropped", daemon.peers.dropped),
    ):
        metric.add_metric([name], UNKNOWN if value is None else value)
    return metric


def _replica_slots(replicas: Mapping[str, Any]) -> Metric:
    metric = GaugeMetricFamily("silverglade_replica_slots", "Slots by replica", labels=["replica", "what"])
    for replica, row in replicas["replicas"].items():
        for field in ("cap", "used", "running"):
            metric.add_metric([replica, field], row[field] if row[field] is not None else UNKNOWN)
    return metric
