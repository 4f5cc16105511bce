"""Weighted max-min fair shares."""

from collections.abc import Iterable
from math import inf


def fair_level(claims: Iterable[tuple[float, int]], capacity: float) -> float:
    """Return the share per unit of weight that no account exceeds.

    Accounts that claim less than this get all that they claim; the others share the
    rest by weight.

    :param claims: claim and weight of each account.
    :return: infinity if the capacity suffices for all claims.
    """
    ascending = sorted(claims, key=_per_weight)
    weight = sum(weight for _, weight in ascending)
    for claim, own_weight in ascending:
        if claim * weight > capacity * own_weight:
            return capacity / weight
        capacity -= claim
        weight -= own_weight
    return inf


def _per_weight(claim: tuple[float, int]) -> float:
    return claim[0] / claim[1]
