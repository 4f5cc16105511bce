Feature: An entry host's calls end once, with a true verdict
  The entry host's server executes the actions of its role; the role is scripted here.

  Scenario Outline: A call that is <started> and <moment> cancelled as <cause> ends as <verdict>
    Given an entry server with a scripted role and a silent upstream
    When a request is <started> and <moment> cancelled as <cause>
    Then its dispatch has ended once, as <cause> with the verdict <verdict>
    And the upstream has got <requests> requests

    Examples:
      | started    | moment                 | cause       | verdict      | requests |
      | dispatched | at once                | preempted   | not_run      | 0        |
      | dispatched | at once                | caller_gone | not_run      | 0        |
      | dispatched | after it has been sent | preempted   | may_have_run | 1        |
      | dispatched | after it has been sent | caller_gone | may_have_run | 1        |
      | resumed    | at once                | preempted   | may_have_run | 0        |

  Scenario: A request that is forgotten is not said to be not run
    Given an entry server with a scripted role and a silent upstream
    When a request is dispatched and its role forgets it
    Then its answer has ended as may_have_run
