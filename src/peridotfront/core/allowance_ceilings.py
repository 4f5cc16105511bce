"""Ceilings on what the leader spends of each allowance, known to all entry hosts.

A host that loses the leader may spend what the last ceiling that it knows leaves it. So
the leader goes beyond a ceiling only once all hosts that reach it know the next one.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from .allowance_shares import BASE_CEILING, LEADER_SHARE
from .messages import AllowanceShare

# A ceiling is raised this early, so that an account at its rate never waits for it.
MARGIN_SHARE = 0.1
MIN_STEP_SHARE = 0.04


@dataclass(slots=True)
class _Ceiling:
    """Ceiling of one account.

    :param announced: share that hosts are told.
    :param usable: share that the leader may spend.
    :param version: version that first announced it.
    """

    announced: float
    usable: float
    version: int


class AllowanceCeilings:
    """Ceilings of all accounts, as shares of their limits.

    :param version: number of the first announcement, above those of earlier terms.

    ``announced`` are the ceilings above the one of an idle account, as hosts are told.
    """

    def __init__(self, version: int):
        self.version = version
        self.announced: tuple[AllowanceShare, ...] = ()
        self._ceilings: dict[str, _Ceiling] = {}

    def usable(self, account: str) -> float:
        """Return the share of an account's limit that the leader may spend."""
        ceiling = self._ceilings.get(account)
        return ceiling.usable if ceiling else BASE_CEILING

    def update(self, spent: Iterable[AllowanceShare], known_version: int) -> None:
        """Announce ceilings a margin above what is spent, and use those that are known.

        :param spent: spent shares of the accounts that have spent much.
        :param known_version: lowest version that all hosts know.
        """
        wanted = {
            used.client_account: min(LEADER_SHARE, used.share + MARGIN_SHARE)
            for used in spent
            if used.share + MARGIN_SHARE > BASE_CEILING
        }
        for account in self._ceilings.keys() - wanted.keys():
            del self._ceilings[account]
            self.version += 1
        for account, share in wanted.items():
            self._announce(account, share)
        for ceiling in self._ceilings.values():
            if ceiling.version <= known_version:
                ceiling.usable = ceiling.announced
        self.announced = tuple(
            [
                AllowanceShare(account, ceiling.announced)
                for account, ceiling in self._ceilings.items()
            ]
        )

    def _announce(self, account: str, share: float) -> None:
        ceiling = self._ceilings.get(account)
        if ceiling is None:
            ceiling = _Ceiling(BASE_CEILING, BASE_CEILING, self.version)
            self._ceilings[account] = ceiling
        is_highest = share == LEADER_SHARE > ceiling.announced
        if abs(share - ceiling.announced) < MIN_STEP_SHARE and not is_highest:
            return
        self.version += 1
        ceiling.announced = share
        ceiling.version = self.version
        ceiling.usable = min(ceiling.usable, share)
