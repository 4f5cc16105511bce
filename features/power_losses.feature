Feature: What was acknowledged outlives a loss of power on all hosts and of some disks
  Control hosts with the real storage run in virtual time, on simulated disks. A file
  that was created, renamed or removed since its folder was last synced is kept or lost
  by itself, and what was written since a file's last sync is present, missing or torn.
  Before, hosts are killed, lose their disk, are replaced by others and join. At the end
  all hosts lose power, voters or not, and as many disks are lost as a quorum allows.

  To play other or more lives, give the first seed and their number:

      PERIDOTFRONT_POWER_SEED=1000 PERIDOTFRONT_POWER_RUNS=500 \
          .venv/bin/behave features/power_losses.feature

  Scenario: No acknowledged change is lost with the power of all hosts and some disks
    When 60 control groups live through faults and a last loss of power and disks
    Then every acknowledged change is on every host and is read back
    And disks were lost, and hosts that are no voters lost power

  Scenario: A data folder that is new when all hosts lose power is not lost as a whole
    Given a data folder in folders that don't exist yet
    When an entry is stored and the host loses power, 40 times
    Then the entry is still stored each time
