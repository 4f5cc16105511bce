Feature: The leader decides at a cost that fits large fleets
  One leader decides for all hosts. Costs are counted in bytecode instructions, which
  depend on no clock and no other load.

  Scenario Outline: The cost of a decision grows at most in proportion to the upstreams
    When a decision with <load> is counted at 39, 150 and 400 upstreams
    Then its instructions grow at most in proportion to the upstreams

    Examples: Loads of the leader
      | load          |
      | short prompts |
      | long prompts  |
      | refusals      |

  Scenario: A refusal of the lowest tier doesn't cost more if more slots are in use
    When a refusal of the lowest tier is counted at 39 upstreams of 6 and 24 slots
    Then its instructions grow by at most 5 in 100

  Scenario: A decision for an account that waits for nothing doesn't walk over all others
    When a decision is counted where 5 and 1000 accounts wait
    Then its instructions grow by at most 5 in 100

  Scenario: It isn't asked of each upstream whether it suits a request that all suit
    When a decision with short prompts is played at 39 and 400 upstreams
    Then as many upstreams are asked at both sizes whether they suit it

  Scenario: What is computed at less cost decides as the plain rules do
    When seeded loads are played with the plain rules and with ours
    Then both send the same messages at the same times
