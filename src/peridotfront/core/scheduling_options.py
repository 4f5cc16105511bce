"""Options of the scheduling of routed services, off by default."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulingOptions:
    """Options of the scheduling of routed services.

    :param finds_pace: whether an upstream that has just started or recovered is sent as
        much as its answers show that it can take.
    :param shares_accounts: whether client accounts get fair shares of all capacity, and
        of the slots in use.
    :param learns_speeds: whether placement goes by the learned speed of each upstream.
    """

    finds_pace: bool = False
    shares_accounts: bool = False
    learns_speeds: bool = False
