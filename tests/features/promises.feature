Feature: Invariants of the running system under failures

  Background:
    Given a system of two zones behind relays

  Scenario: The scheduler of a running job is killed
    Given a non-idempotent job that runs for 3 s in z1
    When the active instance of z1 is killed
    Then the job is answered completed within 20 s
    And the job was started once

  Scenario: The scheduler of a running job is paused and resumed
    Given a non-idempotent job that runs for 3 s in z1
    When the active scheduler of z1 is paused for 5 s
    Then the job is answered completed within 20 s
    And the job was started once
    And z1 has one active scheduler within 10 s

  Scenario: The log is down
    When the log is down
    Then a non-idempotent job is refused as not run
    And an idempotent job is completed within 20 s

  Scenario: A zone is cut off from the log and from other zones
    When z2 is cut off from the log and from other zones
    Then an idempotent job sent to z2 is completed within 20 s
    And a non-idempotent job sent to z2 is refused as not run
    When the routes are restored
    Then a non-idempotent job sent to z2 is completed within 20 s

  Scenario: Rules reach a zone that has lost the platform but not its peers
    When z2 is cut off from the log
    And rules are published in z1
    Then every instance has the new version within 5 s

  Scenario: The log is truncated up to its newest snapshot
    Given 30 jobs have completed
    When the log is truncated up to the newest snapshot
    And an instance of z2 is replaced by a new one
    Then the new instance is ready within 10 s
    And a retry of the first job through it returns the same job

  Scenario: A new instance starts while the log is down
    Given 1 jobs have completed
    When the log is down
    And an instance of z2 is replaced by a new one
    Then the new instance is ready within 15 s

  Scenario: Every instance is replaced in turn under load
    When every instance is drained and replaced in turn under load
    Then every request is completed

  Scenario: All open connections of an instance hang
    When the open connections of the active instance of z1 hang
    Then an idempotent job sent to z1 is completed within 20 s

  Scenario: A leaving endpoint gets nothing new
    When an endpoint of z1 is listed as leaving
    Then no task is started on it after 3 s
