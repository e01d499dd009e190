"""Metrics sent to a statsd daemon, one datagram for each report."""

import attrs
from statsd import StatsClient

from geraniumhall_core.effects import EmitMetrics
from geraniumhall_wire.settings import MetricsSettings, split_address


@attrs.define(eq=False)
class MetricsSink:
    """Where metrics go; nowhere if there is no client."""

    _client: StatsClient | None

    @classmethod
    def from_settings(cls, settings: MetricsSettings) -> "MetricsSink":
        """Return the sink that the settings name."""
        if not settings.statsd:
            return cls(None)
        host, port = split_address(settings.statsd)
        return cls(StatsClient(host, port, prefix=settings.prefix))

    def send(self, effect: EmitMetrics) -> None:
        """Send one report."""
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for counter in effect.counters:
                pipeline.incr(counter.name, int(counter.value))
            for gauge in effect.gauges:
                pipeline.gauge(gauge.name, gauge.value)
