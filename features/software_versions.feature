Feature: A stream goes on only at the software version that began it
  What two versions of an upstream's software write doesn't fit together, and upstreams
  don't check it. A host that doesn't know which version began a stream refuses to
  resume it.

  Scenario: A stream that breaks off within one answer goes on at the same version
    Given a gateway before upstream "u1" that will "cut_events"
    And software version "v2" at upstream "u2" that will "events"
    And upstream "u3" that will "events"
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end
    And upstream "u2" got 0 requests
    And upstream "u3" was asked to resume after "3"

  Scenario: A stream whose version has no other upstream is visibly truncated
    Given a gateway before upstream "u1" that will "cut_events"
    And software version "v2" at upstream "u2" that will "events"
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3" and no end
    And upstream "u2" got 0 requests

  Scenario: A stream without an event so far may begin at another version
    Given a gateway before upstream "u1" that will "close_before_events"
    And software version "v2" at upstream "u2" that will "events"
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end
    And the digest is "sig-of-u2"

  Scenario: A grant of a scheduler that knows no versions is not used to go on
    Given a gateway before upstream "u1" that will "cut_events"
    And software version "v2" at upstream "u2" that will "events"
    And a scheduler that knows no software versions
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3" and no end
    And upstream "u2" got 0 requests

  Scenario: A caller's next attempt names the stream that it resumes
    Given a gateway before upstream "u1" that will "events"
    When a caller resumes the stream "a0" after event "3"
    Then the caller gets events "4,5,6" and the end
    And the slot request resumes the stream "a0"

  Scenario: A stream whose beginning is unknown is refused with a true verdict
    Given a gateway before upstream "u1" that will "events"
    And a scheduler that does not know how streams began
    When a caller resumes the stream "a0" after event "3"
    Then the caller gets 503
    And the caller may retry within 1000 ms
    And upstream "u1" got 0 requests

  Scenario: A stream that its caller does not name is refused without a wait
    Given a gateway before upstream "u1" that will "events"
    And a scheduler that does not know how streams began
    When a caller resumes the stream "" after event "3"
    Then the caller gets 503
    And the answer took at most 250 ms
    And upstream "u1" got 0 requests

  Scenario: A stream whose beginning becomes known while its caller waits goes on
    Given a gateway before upstream "u1" that will "events"
    And a scheduler that learns after 300 ms how streams began
    When a caller resumes the stream "a0" after event "3"
    Then the caller gets events "4,5,6" and the end

  Scenario Outline: Callers' next attempts go on at the version that began their streams: <event>
    Given a routed group of 3 control hosts and 3 entry hosts
    And 6 upstreams of version "v1" and 6 of version "v2" are listed
    And version 7 is acknowledged
    When 20 streams begin at "e1" and break off
    And <event>
    And "<host>" resumes the streams
    Then every stream goes on at the version that began it

    Examples: Events
      | event                                                    | host |
      | no host changes                                          | e1   |
      | no host changes                                          | e2   |
      | entry host "e1" restarts and follows the leader          | e1   |
      | entry host "e1" is down                                  | e2   |
      | all entry hosts are killed at once and start again       | e2   |
      | the leader freezes                                       | e1   |
      | the leader freezes and another one leads                 | e2   |
      | entry host "e1" is down and then the leader is replaced  | e2   |
      | all control hosts are restarted                          | e2   |
      | "e1" can't reach the control hosts                       | e1   |
      | the new upstreams of version "v2" are three times as many | e2   |

  Scenario Outline: A host that does not know how a stream began does not guess: <event>
    Given a routed group of 3 control hosts and 3 entry hosts
    And 6 upstreams of version "v1" and 6 of version "v2" are listed
    And version 7 is acknowledged
    When 20 streams begin at "e1" and break off
    And <event>
    And 1000 ms pass in the routed group
    And "<host>" resumes the streams
    Then no stream is resumed, and each is refused as not run for "<reason>"

    Examples: Events
      | event                                              | host | reason         |
      | "e2" can't reach the control hosts                 | e2   | unknown_origin |
      | all hosts lose power and start again               | e2   | unknown_origin |
      | all hosts start again with version "v1" alone      | e2   | unknown_origin |
      | all upstreams are replaced by ones of version "v3" | e2   | no_upstream    |
      | all entry hosts are killed at once while version "v3" replaces all others | e2 | no_upstream |
      | the streams are of another service                 | e2   | unknown_origin |

  Scenario: Streams that begin while their host is cut off are known once it is back
    Given a routed group of 3 control hosts and 3 entry hosts
    And 6 upstreams of version "v1" and 6 of version "v2" are listed
    And version 7 is acknowledged
    When "e1" can't reach the control hosts
    And 4 streams begin at "e1" and break off
    And all cuts are repaired
    And 1000 ms pass in the routed group
    And "e2" resumes the streams
    Then every stream goes on at the version that began it

  Scenario: A resumed stream waits for an upstream of its version, and for no other
    Given a routed group of 3 control hosts and 3 entry hosts
    And 1 upstreams of version "v1" and 0 of version "v2" are listed
    And version 7 is acknowledged
    When 4 streams begin at "e1" and break off
    And "e3" requests slots for 4 requests
    And 3 upstreams of version "v1" and 6 of version "v2" are listed in 200 ms
    And "e2" resumes the streams
    Then every stream goes on at the version that began it

  Scenario: A resumed stream that waits is refused when its version has left
    Given a routed group of 3 control hosts and 3 entry hosts
    And 1 upstreams of version "v1" and 0 of version "v2" are listed
    And version 7 is acknowledged
    When 4 streams begin at "e1" and break off
    And "e3" requests slots for 4 requests
    And 0 upstreams of version "v1" and 6 of version "v2" are listed in 200 ms
    And "e2" resumes the streams
    Then no stream is resumed, and each is refused as not run for "no_upstream"
