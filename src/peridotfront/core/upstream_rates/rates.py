"""Rates of a service's upstreams, as its scheduler uses them."""

from collections.abc import Iterable
from typing import Any

from .costs import PlacementCosts
from .loads import ServiceLoads
from .memory import HeldMemory
from .speeds import Speeds


class UpstreamRates:
    """Speeds, loads and costs of the upstreams of a service."""

    def __init__(self) -> None:
        self._speeds = Speeds()
        self._loads = ServiceLoads()
        self.costs = PlacementCosts(self._loads)

    def attach(self, spec: Any, capacity: Any) -> None:
        """Let the capacity of an upstream follow its learned speed.

        :param spec: configuration of the upstream.
        """
        prompt_token_ms = 1000.0 / spec.prefill_tokens_per_s
        key = (spec.name, spec.software_version)
        capacity.speed = self._speeds.speed(key, prompt_token_ms, capacity.gap_ms)
        if capacity.memory is None:
            capacity.memory = HeldMemory()
        capacity.apply_speed()

    def record_release(self, capacity: Any, release: Any) -> None:
        """Record the measurements of a whole answer."""
        steps = release.produced_tokens - 1
        if release.first_token_ms >= 0 and steps > 0:
            answer_ms = release.duration_ms - release.first_token_ms
            capacity.record_step(answer_ms / steps)

    def refresh(self, upstreams: Iterable[Any], now_ms: int) -> None:
        """Measure the load of the upstreams, if the last measurement is not recent."""
        self._loads.refresh(upstreams, now_ms)

    def sampled(self, upstreams: Iterable[Any]) -> None:
        """Count a sample, and apply the prior to upstreams without any."""
        if not self._speeds.counts_to_prior():
            return
        self._speeds.apply_prior()
        for upstream in upstreams:
            if upstream.capacity.speed is not None:
                upstream.capacity.apply_speed()
