Feature: The real programs keep their promises under random faults
  A short run of the soak; longer ones are played by hand.

  Scenario: Ten seconds of faults by one seed
    When the soak plays seed 1 for 10 s
    Then no promise was broken
