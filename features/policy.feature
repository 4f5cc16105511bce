Feature: The policy keeps its bounds in the benchmark
  The scheduler runs against engine models in virtual time, with fixed seeds.

  Scenario Outline: No request is shed wrongly, dispatched twice or refused falsely
    When the benchmark runs "<fault>"
    Then there is no inversion, no second dispatch and no false refusal
    And every request has an answer
    And no refusal comes later than its deadline and one round

    Examples:
      | fault     |
      | burst     |
      | straggler |
      | death     |
      | poison    |
      | leaving   |
      | handover  |
      | cut       |

  Scenario: The highest tier keeps its goodput under strain
    When the benchmark runs "calm"
    And the benchmark runs "strain"
    Then tier 1 keeps 0.99 of its goodput

  Scenario Outline: Goodput does not drop at twice the load
    When the benchmark runs workload "<workload>" at load 1.0
    And the benchmark runs workload "<workload>" at load 2.0
    Then the good tokens are at least 0.95 of those before

    Examples:
      | workload |
      | gold     |
      | school   |

  Scenario: Tokens of good answers at twice the load are above every baseline's
    When the benchmark runs workload "gold" at load 2.0
    And every baseline runs it too
    Then the good tokens are at least 1.2 times the best baseline's

  Scenario: Good answers at twice the load are above every baseline's
    When the benchmark runs workload "gold" at load 2.0
    And every baseline runs it too
    Then the good answers are at least 1.2 times the best baseline's

  Scenario: Prefix hits are close to those of an oracle
    When the benchmark runs workload "school" at load 1.0
    Then prefix hits are at least 0.9 of the oracle's

  Scenario Outline: Less prefill is wasted than by any baseline
    When the benchmark runs workload "<workload>" at load <load>
    And every baseline runs it too
    Then the wasted tokens per complete answer are at most 0.333 of the best baseline's

    Examples: At capacity
      | workload | load |
      | school   | 1.0  |

    Examples: At twice the capacity
      | workload | load |
      | school   | 2.0  |
      | gold     | 2.0  |

  Scenario: A poison request takes down two upstreams at most
    When the benchmark runs "poison"
    Then at most 2 upstreams died
    And only the poison request is refused as poison

  Scenario: A leaving upstream gets no requests after two seconds
    When the benchmark runs "leaving"
    Then no request was dispatched to it more than 2000 ms after it began to leave

  Scenario: Requests that retry at the announced time are admitted
    When the benchmark runs "returns"
    Then at least 0.9 of the retries are admitted

  Scenario: A decision fits the processor time of all control work
    When decisions are timed at 10 upstreams and 5 accounts
    Then one decision takes 278 us at most
