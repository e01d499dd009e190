"""Metrics in the Prometheus text format, and optionally sent to statsd."""

from collections.abc import Callable

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest
from statsd import StatsClient

from geraniumhall_core.effects import EmitMetrics
from geraniumhall_wire.settings import MetricsSettings, split_address

NAMESPACE = "geraniumhall"
LATENCY_BUCKETS_SECONDS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0)


@attrs.define(eq=False)
class MetricsSink:
    """Records metrics in a Prometheus registry and sends them to statsd.

    The reducer reports counters and gauges under dotted names. The first part
    of a counter's name becomes the metric, the rest its label ``name``. A
    gauge's name becomes one metric, with underscores for the dots.
    """

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    _client: StatsClient | None = None
    _counters: dict[str, Counter] = attrs.field(factory=dict)
    _gauges: dict[str, Gauge] = attrs.field(factory=dict)
    _latency: Histogram = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._latency = Histogram(
            "answer_seconds",
            "Time from a request's arrival to the end of its exchange.",
            namespace=NAMESPACE,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )

    @classmethod
    def from_settings(cls, settings: MetricsSettings) -> "MetricsSink":
        """Return a sink, with a statsd client if the settings give an address."""
        if not settings.statsd:
            return cls()
        host, port = split_address(settings.statsd)
        return cls(client=StatsClient(host, port, prefix=settings.prefix))

    def send(self, effect: EmitMetrics) -> None:
        """Record one report, and send it to statsd if there is a client."""
        for counter in effect.counters:
            self._find_counter(counter.name).inc(counter.value)
        for gauge in effect.gauges:
            self._find_gauge(gauge.name).set(gauge.value)
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for counter in effect.counters:
                pipeline.incr(counter.name, int(counter.value))
            for gauge in effect.gauges:
                pipeline.gauge(gauge.name, gauge.value)

    def observe_answer(self, seconds: float) -> None:
        """Record the duration of an exchange, in seconds."""
        self._latency.observe(seconds)

    def count(self, name: str) -> None:
        """Add one to a counter of the daemon itself, under its dotted name."""
        self._find_counter(name).inc()

    def observe_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Export what `read` returns as a gauge."""
        gauge = Gauge(
            name, f"Current {name}.", namespace=NAMESPACE, registry=self.registry
        )
        gauge.set_function(read)

    def encode(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _find_counter(self, name: str) -> Counter:
        family, _, label = name.partition(".")
        if family not in self._counters:
            self._counters[family] = Counter(
                family,
                f"Counts of {family} by name.",
                ("name",),
                namespace=NAMESPACE,
                registry=self.registry,
            )
        return self._counters[family].labels(label)

    def _find_gauge(self, name: str) -> Gauge:
        metric_name = name.replace(".", "_")
        if metric_name not in self._gauges:
            self._gauges[metric_name] = Gauge(
                f"{metric_name}_now",
                f"Current value of {name}.",
                namespace=NAMESPACE,
                registry=self.registry,
            )
        return self._gauges[metric_name]
