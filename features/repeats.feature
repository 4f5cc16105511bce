Feature: Searches and retries use no more of shared bounds than what they send
  A service gets retries for a ratio of its first sends and a fixed number on top, in any
  window. Slots that are granted to a search are often given back.

  Scenario: Retries that are refunded later leave no more than the slack
    A refund that is taken from the current time outlives the retry that it refunds, and
    leaves more free than the limit.

    Given a retry budget of ratio 0.2, slack 10 and window 10000 ms
    When 10 retries are charged, and refunded 1500 ms later
    Then no more than 10 retries ever fit the budget within the next 25000 ms

  Scenario: Random charges, grants and refunds keep retries within their limit
    Given a service with 40 upstreams of 10 slots
    When first sends and repeats are charged, granted and given back in any order
    Then in any window the repeats that were sent are within the limit
