Feature: A refusal after a dispatch does not say that the request did not run
  A request without a key that may be repeated is dispatched again after the death of its
  upstream, which may have executed it. Whatever ends it later, the verdict remembers that.

  Scenario Outline: A request that <first> and then <end> is refused as <verdict>
    Given a dispatcher with a request that <first>
    When the request then <end>
    Then the request is refused as <verdict>

    Examples: The first upstream may have executed it
      | first                   | end                                    | verdict      |
      | was sent and died       | finds no cell                          | may_have_run |
      | was sent and died       | is refused by every cell               | may_have_run |
      | was sent and died       | is refused as poison                   | may_have_run |
      | was sent and died       | waits beyond its deadline              | may_have_run |
      | was sent and died       | gets a slot whose lease has expired    | may_have_run |
      | was sent and died       | is not sent to its next upstream       | may_have_run |
      | was sent and died       | finds every later upstream unreachable | may_have_run |

    Examples: No upstream was sent the request
      | first                   | end                                    | verdict      |
      | found nobody to send to | finds no cell                          | not_run      |
      | found nobody to send to | is refused by every cell               | not_run      |
      | found nobody to send to | is refused as poison                   | not_run      |
      | found nobody to send to | waits beyond its deadline              | not_run      |
      | found nobody to send to | gets a slot whose lease has expired    | not_run      |
      | found nobody to send to | is not sent to its next upstream       | not_run      |
      | found nobody to send to | finds every later upstream unreachable | not_run      |

  Scenario: A late copy of the reply to an earlier key lookup is no proof for a refusal
    Given a request with a key that was looked up as free while it waited
    When every cell refuses it and a late copy of that reply arrives
    Then it is not refused, and its next lookup finds the request that runs

  Scenario: A request whose key lookup failed looks its key up again before its refusal
    Given a request with a key whose lookup failed while it waited
    When the control group is back and every cell refuses it
    Then it is not refused, and its next lookup finds the request that runs

  Scenario: A repeat that joins a first attempt is not refused as not run without a lookup
    Given a request with a key whose lookup failed while it waited
    When a second attempt with the key joins it and every cell refuses it
    Then the request is refused as may_have_run

  Scenario Outline: A request that took a claim over is not refused as not run when its resumption <end>
    Given a request with a key that took over the claim of a lost host
    When its resumption <end>
    Then the request is refused as may_have_run

    Examples:
      | end                      |
      | is not sent              |
      | finds its engine gone    |
      | is preempted before send |

  Scenario: A request whose answer has begun is not sent again, since the answers would be joined
    Given a dispatcher with a request that was sent and died within its answer
    Then the request is refused as may_have_run
