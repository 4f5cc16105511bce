Feature: Only the control leader sends orders to engines
  The active configuration is the desired state; engines report their models and
  roles. Orders are committed to the log before they are sent, with a fencing token.

  Scenario Outline: An engine that <manner> tokens executes no order of an old leader after one of the new leader
    Given control hosts and an engine that <manner> fencing tokens
    And a leader whose order of m2 takes 3000 ms to reach the engine
    When that leader is isolated as soon as the order was sent
    And an operator also configures m3 at the other hosts
    Then another leader has the engine load m3
    And the terms of the orders that the engine accepted never decrease
    And every order was committed before it was sent

    Examples:
      | manner  |
      | honours |
      | ignores |

  Scenario: A leader that was frozen before it sent an order does not send it when thawed
    Given control hosts and an engine that ignores fencing tokens
    And a leader that is frozen right before it sends its order of m2
    When it is thawed after another leader had the engine load m2
    Then it has sent no order
    And the order was abandoned

  Scenario: An order whose answer was lost is repeated with the same id and a newer token
    Given control hosts and an engine that honours fencing tokens
    And the engine takes 13000 ms to load and its first answer is lost
    When the configuration asks for m1 and m2
    Then 2 orders with one id and growing tokens reach the engine
    And every order was committed before it was sent

  Scenario: Loads stay within the token bucket of the weight store across a change of leader
    Given control hosts and 12 engines that honour fencing tokens
    When 12 engines are to load m2 at 12 loads a minute and 2 at once
    And the leader is killed after 5 loads were sent
    Then all engines have m2 in the end
    And no period had more loads than the bucket allows

  Scenario: A leader whose token is refused logs it and sends no more orders in its term
    Given control hosts and an engine that honours fencing tokens
    And the engine knows a token of term 1000
    When the configuration asks for m1 and m2
    Then one order was refused and logged
    And in 60000 ms no more orders of that term are sent

  Scenario: An order of a configuration that was replaced before its commit is not sent
    Given an order planner that leads with configuration 1 for m1 and m2
    And the planner has proposed to load m2
    When configuration 2 for m1 becomes active before the order is committed
    Then the planner sends nothing
    And the next report without m2 causes no order

  Scenario: A role is set at once and a model is unloaded only after a delay for its callers
    Given an order planner that leads with configuration 1 for m1 as prefill
    When the engine reports m1 and m2 every 1000 ms and executes orders
    Then the planner orders set_role prefill, and unload_model m2 after 10000 ms

  @fixture.small_deployment
  Scenario: A model that an operator adds to an engine is loaded there
    When an operator adds m2 to engine-1
    Then the run file of engine-1 has one accepted order to load m2
    And the state page of the leader shows that order
    And entry-1 answers a completion with m2

  Scenario: Logged orders survive a snapshot that is encoded in slices
    Given a control state with 5 logged orders
    When its snapshot is encoded in slices of 2 records and restored elsewhere
    Then the other state has the same orders

  Scenario: The table of orders is bounded and keeps the newest
    Given a control state with 1500 logged orders
    Then the table holds the newest 1000 orders

  Scenario Outline: A leader that lost its quorum while it connected sends no byte of an order
    Given an engine that records the bytes it receives
    When an order is sent and the leader <leads> a quorum once connected
    Then the engine received <bytes> bytes
    And the order in flight has failed

    Examples:
      | leads | bytes |
      | has   | some  |
      | lost  | no    |
