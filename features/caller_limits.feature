Feature: Limits on bytes, requests and connections of callers
  Each scenario guards one rule of the server for callers, in one process.

  Scenario: The next request on a connection waits until the last answer is sent
    Given a server whose answers have a header of 8 kB
    When a caller sends 1000 long requests at once and reads nothing yet
    Then the server held at most 640 kB for it
    And the caller gets all 1000 answers once it reads

  Scenario: Stalled connections that hold the most are closed first
    Given a server that may hold 1 MB, with one request in progress
    When three callers stall within bodies of 50, 300 and 450 kB
    Then another caller's request with a body of 300 kB is served
    And the connection that stalled with 450 kB is closed, and the two others are not
    And the request in progress is answered

  Scenario: A body without room beside requests in progress is refused as not run
    Given a server that may hold 1 MB, with one request in progress
    When another caller sends 1200 kB of a body
    Then it gets 503 with the verdict not_run
    And what it sent is no longer held, though its connection is open
    And the request in progress is answered

  Scenario: A connection that has just begun a request is not stalled
    Given a server that may hold 1 MB, with one request in progress
    And a kept connection that has been idle for long
    When it has sent 450 kB of a body and another caller sends a body of 600 kB
    Then it gets 503 with the verdict not_run
    And the kept connection's request is served
    And the request in progress is answered

  Scenario: Requests sent ahead without room end their connection
    Given a server that may hold 1 MB, whose handlers wait
    When 8 callers send a request and 300 kB of others ahead
    Then a connection is closed for the bytes that it holds
    And the server holds at most 1 MB

  Scenario: Large answers that are not read count toward the limit
    Given a server that may hold 1 MB and answers with 30 MB
    When a caller requests it and does not read
    Then a connection is closed for the bytes that it holds

  Scenario: Streams that are not read count toward the limit
    Given a server that may hold 1 MB and sends streams without end
    When 20 callers request it and do not read
    Then a connection is closed for the bytes that it holds

  Scenario: A drain does not wait for callers that read nothing
    Given a server whose answers have a header of 8 kB
    When a caller sends 1000 long requests at once and reads nothing yet
    Then a drain of 60 s ends at once

  Scenario: Requests in progress beyond their limit are refused as not run
    Given a server that may have 1 request in progress, with one in progress
    When another caller sends a request
    Then it gets 503 with the verdict not_run
    And the request in progress is answered

  Scenario: Connections without a request give way to others at the limit
    Given a server with a limit of 2 connections, both open without a request
    When another caller repeats a request until it is served
    Then a connection without a request was closed for it

  Scenario: Many refused connections are closed without an answer
    Given a server with a limit of 1 connections, with one request in progress
    When 60 callers connect and send nothing
    Then at most 20 of them are open at the server at a time

  Scenario: An ended request leaves nothing to the garbage collector
    Given a gateway before an upstream that answers
    When a request is answered while the garbage collector is off
    Then no object of its forwarding is left
