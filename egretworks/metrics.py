"""Collect counters and HDR histograms, and export them with gauges in the Prometheus format."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec
from hdrh.histogram import HdrHistogram

# Range and precision of the histograms, which hold durations in microseconds. Shorter durations
# count as the minimum; longer ones are not recorded.
MIN_DURATION_MICROS = 1
MAX_DURATION_MICROS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROS_PER_MILLI = 1_000
QUANTILES = (0.5, 0.99, 0.999)
PREFIX = "egret_"


class Gauge(msgspec.Struct, frozen=True):
    """Hold the current value of a gauge, labelled with `service` unless that is empty.

    `label` is the name of that label.
    """

    name: str
    description: str
    value: float
    service: str = ""
    label: str = "service"


ReadGauges = Callable[[], Iterable[Gauge]]


class Metrics:
    """Hold the counters and histograms of one daemon."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._histograms_by_name: dict[str, HdrHistogram] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        self.counts[name] += by

    def observe(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds in the histogram `name`."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(MIN_DURATION_MICROS, MAX_DURATION_MICROS, SIGNIFICANT_DIGITS)
            self._histograms_by_name[name] = histogram
        histogram.record_value(max(MIN_DURATION_MICROS, int(duration_ms * MICROS_PER_MILLI)))

    def page(self, read_gauges: ReadGauges) -> bytes:
        """Return all metrics in the Prometheus text format, with the current gauges."""
        # Imported on first use: it takes 4 MB of memory, and most daemons are never scraped.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self, read_gauges))
        return generate_latest(registry)

    def quantiles(self) -> Iterable[tuple[str, int, list[tuple[float, float]]]]:
        """Yield each histogram's name, its count and pairs of quantile and milliseconds."""
        for name, histogram in sorted(self._histograms_by_name.items()):
            yield (
                name,
                histogram.get_total_count(),
                [
                    (quantile, histogram.get_value_at_percentile(quantile * 100) / MICROS_PER_MILLI)
                    for quantile in QUANTILES
                ],
            )


class _Collector:
    """Adapt a daemon's metrics to the collector interface of `prometheus_client`."""

    def __init__(self, metrics: Metrics, read_gauges: ReadGauges) -> None:
        self._metrics = metrics
        self._read_gauges = read_gauges

    def collect(self) -> Iterable:
        """Yield every metric as a metric family of `prometheus_client`."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

        for name, value in sorted(self._metrics.counts.items()):
            yield CounterMetricFamily(PREFIX + name, name.replace("_", " "), value=value)
        families: dict[str, GaugeMetricFamily] = {}
        for gauge in self._read_gauges():
            labels = [gauge.label] if gauge.service else []
            family = families.get(gauge.name)
            if family is None:
                family = GaugeMetricFamily(PREFIX + gauge.name, gauge.description, labels=labels)
                families[gauge.name] = family
            family.add_metric([gauge.service] if gauge.service else [], gauge.value)
        yield from families.values()
        for name, count, pairs in self._metrics.quantiles():
            summary = Metric(f"{PREFIX}{name}_ms", f"{name.replace('_', ' ')}, in ms", "summary")
            for quantile, value_ms in pairs:
                summary.add_sample(summary.name, {"quantile": f"{quantile:g}"}, value_ms)
            summary.add_sample(f"{summary.name}_count", {}, count)
            yield summary
