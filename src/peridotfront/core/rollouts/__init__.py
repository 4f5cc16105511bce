"""Progressive rollouts: a service is moved to a new version, and back if it is bad.

- :mod:`.table`: the replicated orders and ends.
- :mod:`.manager`: all rollouts at the leader.
- :mod:`.rollout`: the stages of one rollout.
- :mod:`.exposure`: limit on the requests that an unproven version may get.
- :mod:`.samples`: answers of the versions.
- :mod:`.speeds`, :mod:`.evidence`: comparison of the versions.
- :mod:`.gates`: versions that requests may go to, as schedulers ask for them.
- :mod:`.new_versions`: versions that are held back until an order arrives.
- :mod:`.leaderless_gates`: gates of an entry host that has no leader.
"""
