Feature: The state of the control group survives random schedules
  The first scenario runs only the state machines, with a replica that lags and is
  restored from snapshots. The second runs control and entry hosts: messages are lost,
  duplicated, delayed and reordered; hosts are killed, frozen and cut off in one
  direction or both; disks are lost; clocks run at different rates. An oracle of dicts
  and counters checks the invariants.

  For a long run with new seeds, give the number of steps, and a seed if it is to
  be repeated:

      PERIDOTFRONT_FUZZ_STEPS=100000 PERIDOTFRONT_FUZZ_SEED=7 \
          .venv/bin/behave features/control_fuzz.feature

  Scenario: Random commands leave all replicas equal and violate no invariant
    When random commands are applied in the order of a log
    Then the oracle of the control group agrees

  Scenario: Random faults of control and entry hosts break no promise
    When random faults strike control and entry hosts
    Then the oracle of the control group agrees
