Feature: The control group survives random schedules of faults
  Messages are lost, duplicated, delayed and reordered; links fail in one direction;
  hosts crash within a turn, lose their disks, freeze, and have clocks that run at
  different rates. Each run ends with all faults repaired: then every host must become
  a voter again, and every acknowledged write must be on every host.

  For a long run with new seeds, give the number of steps, and a seed if it is to
  be repeated:

      PERIDOTFRONT_FUZZ_STEPS=1000000 PERIDOTFRONT_FUZZ_SEED=7 \
          .venv/bin/behave features/raft_fuzz.feature

  Scenario: Random faults lose no acknowledged write and cause no stale read
    Given random faults as set in the environment
    When they are run against the control group
    Then no invariant was violated, and each type of event occurred
