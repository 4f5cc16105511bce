Feature: The real programs keep their guarantees under random faults
  A short run of the soak test; longer ones are started by hand.

  Scenario: Ten seconds of random faults with one seed
    When the soak test runs seed 1 for 10 s
    Then no guarantee was violated
