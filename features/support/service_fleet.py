"""Configuration of one service whose requests a simulated load sends."""

from peridotfront.core.fleet import AccountSpec, Fleet, UpstreamSpec
from peridotfront.core.service_schedulers import SERVICE_POLICY


def build_fleet(service, kind, names, slots, accounts, **fields):
    """Return the configuration of a service with the platform's policy.

    :param names: names of its upstreams, with the same number of slots each.
    :param accounts: number of client accounts.
    :param fields: other fields of each upstream.
    """
    specs = [
        UpstreamSpec(
            name=name,
            kind=kind,
            data_centre="dc",
            address="",
            service=service,
            models=("",),
            max_slots=slots,
            pool=service,
            **fields,
        )
        for name in names
    ]
    account_specs = tuple([AccountSpec(f"a{n}", "") for n in range(accounts)])
    return Fleet(1, tuple(specs), account_specs, policy=SERVICE_POLICY)
