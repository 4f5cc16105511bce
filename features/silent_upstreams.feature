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

  Scenario Outline: The real programs answer whole while upstreams fall silent beside changes
    Given programs of 3 control hosts and 6 entry hosts before 6 upstreams
    When requests "<path>" are sent while the upstreams fall silent for <silence> ms each in turn
    Then no request is left without an answer
    And no request that was sent is given up
    And each answer is whole, with all its events in order
    And no request runs at two upstreams for over 400 ms

    Examples: Silences of real programs as "silence at a high load"
      | path         | silence |
      | /resumable/x | 1900    |
      | /look-up/x   | 1300    |
      | /stream/x    | 1900    |
