Feature: Searches and retries use no more of shared bounds than what they send
  A service gets retries for a ratio of its first sends and a fixed number on top, in any
  window. Slots that are granted to a search are often given back.

  Scenario: Retries that are refunded later leave no more than the slack
    A refund that is taken from the current time outlives the retry that it refunds, and
    leaves more free than the limit.

    Given a retry budget of ratio 0.2, slack 10 and window 10000 ms
    When 10 retries are charged, and refunded 1500 ms later
    Then no more than 10 retries ever fit the budget within the next 25000 ms

  Scenario Outline: Random charges, grants and refunds keep retries within their limit
    Given a service with <upstreams> upstreams of <slots> slots
    When first sends and repeats are charged, granted and given back in any order
    Then in any window the repeats that were sent are within the limit

    Examples: Slots for all, and so few that slot requests wait
      | upstreams | slots |
      | 40        | 10    |
      | 2         | 3     |

  Scenario: Searches that wait for a slot leave the retry budget to a retry
    A search that only waits sends nothing. If it were charged while it waits, the retry
    of a send that failed would be refused.

    Given a service with 2 upstreams of 15 slots
    And all its slots are held
    When 16 searches wait for a slot
    And a retry of a send that failed arrives
    Then the retry waits too

  Scenario: Repeats that waited together send no more than the retry budget allows
    30 first sends and the slack allow 16 repeats. A slot that is granted beyond them
    is free again at once.

    Given a service with 2 upstreams of 15 slots
    And all its slots are held
    When 20 searches wait for a slot
    And 25 slots are given up while 20 repeats wait
    Then 16 repeats were sent, and 4 were refused for the retry budget
    And 9 slots are free

  Scenario Outline: Slots that are not used take nothing of an upstream's limit
    A search is cancelled when its upstream goes on. Its grant may have been on the way,
    so that its slot is freed by the cancellation, or when the grant comes.

    Given a service with 1 upstreams of 10 slots
    And its upstream names the limit 2
    When 30 searches in 30 ms steps find a slot that is not used, and <end>
    Then 30 searches were granted a slot

    Examples: Ends of a search with a slot
      | end                                     |
      | is given back                           |
      | is cancelled                            |
      | is cancelled before it is given back    |

  Scenario: Refused searches don't put off the retries of other callers
    A search that is refused is repeated within a second, whatever time it is told, under
    another id. A place for it among the announced retries stays empty, and each one more
    is no further demand.

    Given a service with 2 upstreams of 3 slots
    And it has served requests of 300 ms, and all its slots are held
    When 8 searches are refused 4 times, each 200 ms
    And a new request is refused
    Then it is told the same time to come back as without the searches
