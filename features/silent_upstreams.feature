Feature: A sound upstream that is silent for a moment costs no request its answer
  Nothing is closed and nothing is lost: the upstream works on and then goes on.

  Scenario Outline: No answer is cut off while its upstream is silent and no other has a free slot
    Given a gateway before upstream "u1" that will "<step>"
    When a caller sends "<path>" with the body "prompt"
    Then the caller gets <answer>
    And upstream "u1" got 1 requests

    Examples: Silences as "silence"
      | path         | step                | answer                                |
      | /resumable/x | pause_events        | events "1,2,3,4,5,6" and the end      |
      | /resumable/x | pause_before_events | events "1,2,3,4,5,6" and the end      |
      | /look-up/x   | pause_answer        | 200 with the body "whole answer of u1" |

  Scenario Outline: A request whose upstream stays silent goes to another one once that has a free slot
    Given a gateway before upstream "u1" that will "<step>"
    And upstream "u2" that will "<other>"
    And every repeat is refused as overloaded for <busy> ms
    When a caller sends "<path>" with the body "prompt"
    Then the caller gets <answer>
    And upstream "u1" had its connection closed
    And the first slot ended as "upstream_timeout"

    Examples: Silences without an end as "endless silence"
      | path         | step          | other  | busy | answer                                 |
      | /resumable/x | silent_events | events | 0    | events "1,2,3,4,5,6" and the end       |
      | /resumable/x | silent_events | events | 600  | events "1,2,3,4,5,6" and the end       |
      | /look-up/x   | hang          | answer | 0    | 200 with the body "whole answer of u2" |
      | /look-up/x   | hang          | answer | 600  | 200 with the body "whole answer of u2" |

  Scenario: A stream without event ids is not cut off while its upstream is silent
    Given a gateway before upstream "u1" that will "pause_unnumbered_events"
    And upstream "u2" that will "events"
    When a caller sends "/resumable/x" with the body "prompt"
    Then the answer has its end
    And upstream "u2" got 0 requests

  Scenario: The search for another slot ends when a silent upstream goes on
    Given a gateway before upstream "u1" that will "pause_events"
    And upstream "u2" that will "events"
    And every repeat is granted after 600 ms
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end
    And upstream "u2" got 0 requests
    And each granted slot is released once

  Scenario: A request keeps its place in the queue if its silent upstream is lost meanwhile
    Given a gateway before upstream "u1" that will "reset_after_silence"
    And upstream "u2" that will "answer"
    And the first repeat is granted after 700 ms and each later one is refused
    When a caller sends "/look-up/x" with the body "prompt"
    Then the caller gets 200 with the body "whole answer of u2"

  Scenario: A stream that began during a search is not resumed at another software version
    Given a gateway before upstream "u1" that will "begin_after_silence"
    And an upstream "u2" of version "v2" that will "events"
    And every repeat is granted after 700 ms
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3" and no end
    And upstream "u2" got 0 requests

  Scenario: An upstream that was late once is not blamed when its caller reads nothing
    Given a gateway before upstream "u1" that will "pause_and_flood_events"
    When a caller sends "/resumable/x" with the deadline "1500" and reads nothing
    Then the first slot ended as "out_of_time"

  Scenario: A stream whose silent upstream is lost late may still wait for another one
    Given a gateway before upstream "u1" that will "reset_after_long_silence"
    And upstream "u2" that will "events"
    And every repeat is refused as overloaded for 500 ms, and then granted after 20 ms
    When a caller sends "/resumable/x" with the deadline "4000"
    Then the caller gets events "1,2,3,4,5,6" and the end

  Scenario Outline: A stream that broke off waits for a slot at another upstream
    Given a gateway before upstream "u1" that will "cut_events"
    And upstream "u2" that will "events"
    And every repeat is refused as <reason> for 700 ms
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3,4,5,6" and the end

    Examples: Refusals that pass as "passing refusal"
      | reason       |
      | overloaded   |
      | retry_budget_spent |
      | no_upstream  |

  Scenario: A stream that no upstream can go on with is broken off before its time limit
    Given a gateway before upstream "u1" that will "cut_events"
    And every repeat is refused as no_upstream for 9000 ms
    When a caller sends "/resumable/x" with the body "prompt"
    Then the caller gets events "1,2,3" and no end
    And the answer took at most 1500 ms

  Scenario: A stream that broke off late may wait for a slot as long as its caller for an event
    Given a gateway before upstream "u1" that will "cut_long_events"
    And upstream "u2" that will "events"
    When a caller sends "/resumable/x" with the deadline "4000"
    Then the caller gets events "1,2,3,4,5,6" and the end
    And the second slot request can wait between 1000 and 1600 ms

  Scenario Outline: The real programs answer whole while upstreams fall silent beside changes
    Given programs of 3 control hosts and 6 entry hosts before 6 upstreams
    When requests "<path>" are sent while the upstreams fall silent for <silence> ms each in turn
    Then no request is left without an answer within its time limit
    And no request that was sent is given up
    And each answer is whole, with all its events in order
    And no request runs at two upstreams for over 400 ms

    Examples: Silences of real programs as "silence at a high load"
      | path         | silence |
      | /resumable/x | 1900    |
      | /look-up/x   | 1300    |
      | /stream/x    | 1900    |
