Feature: Guarantees while instances, the store and workers fail

  Scenario: A job of independent tasks succeeds
    Given a deployment of three instances
    When a job of three tasks is accepted
    Then it is reported as succeeded
    And no task ran twice

  Scenario: A state query right after the last task ends returns the end
    Given a deployment of three instances
    When a job of three tasks is accepted
    And its last task ends
    Then the first state query at each instance returns its end

  Scenario: An urgent gang gets the capacity that its account is guaranteed
    Given a deployment of three instances
    And every accelerator runs work that is not urgent
    When an urgent gang is accepted
    Then it starts within the time limit for reclaiming capacity
    And it is reported as succeeded

  Scenario: The owner is killed while work runs
    Given a deployment of three instances
    When a job of three tasks is accepted
    And the owner is killed once its tasks run
    Then it is reported as succeeded
    And no task ran twice

  Scenario: The owner is suspended and resumes after another instance took over
    Given a deployment of three instances
    When a job of three tasks is accepted
    And the owner is paused for four seconds once its tasks run
    Then it is reported as succeeded
    And no task ran twice

  Scenario: Every instance is killed right after a job is accepted
    Given a deployment of three instances
    When a job of three tasks is accepted
    And every instance is killed and started again
    Then it is reported as succeeded
    And no task ran twice

  Scenario: The owner is asked to stop and hands over the pool
    Given a deployment of three instances
    When a job of three tasks is accepted
    And the owner is asked to stop once its tasks run
    Then another instance owns the pool within two seconds
    And the former owner exits without an error
    And it is reported as succeeded
    And no task ran twice

  Scenario: The store is unavailable while tasks end
    Given a deployment of three instances
    When a job of three tasks is accepted
    And the store answers nothing for three seconds once its tasks run
    Then it is reported as succeeded
    And no task ran twice

  Scenario: Workers' entries have expired when another owner takes over
    Given a deployment of three instances
    When a job of three tasks is accepted
    And its tasks end while the store is unavailable
    And the entries of the workers that ran it expire and the owner is killed
    Then it is reported as succeeded
    And no task ran twice

  Scenario: The store forgets its history
    Given a deployment of three instances
    When the store forgets its history
    And a job of three tasks is accepted
    Then it is reported as succeeded
    And the store receives fewer than 20 calls per second

  Scenario: Replies of the store are lost
    Given a deployment of three instances
    When half of the replies to writes are lost
    And a job of three tasks is accepted
    Then it is reported as succeeded
    And no task ran twice

  Scenario: Orders are unanswered and carried out late
    Given a deployment of three instances
    When a third of the orders to workers are unanswered and carried out late
    And a job of three tasks is accepted
    Then it is reported as succeeded
    And no task ran twice

  Scenario: A cancelled job stops
    Given a deployment of three instances
    When a long job is accepted
    And it is cancelled
    Then it is reported as cancelled
    And none of its tasks runs

  Scenario: Tasks are started late, after their job was cancelled
    Given a deployment whose leases last longer than a takeover
    When all orders to workers are unanswered and carried out late
    And a long job is accepted and its tasks are ordered
    And it is cancelled
    And its tasks start
    And orders to workers are answered again
    Then none of its tasks runs
    And every task of it that started was stopped

  Scenario: Tasks are started late by an owner that was killed
    Given a deployment whose leases last longer than a takeover
    When all orders to workers are unanswered and carried out late
    And a long job is accepted and its tasks are ordered
    And the owner is killed
    And it is cancelled
    And orders to workers are answered again
    And its tasks start
    Then none of its tasks runs
    And every task of it that started was stopped

  Scenario: The owner is killed and the record of its running job is removed
    Given a deployment whose leases last longer than a takeover
    When a long job is accepted
    And the owner is killed
    And its record is removed from the store
    Then none of its tasks runs
    And every task of it that started was stopped

  Scenario: The next owner reaches a cancelled job's workers only long after its takeover
    Given a deployment whose leases last longer than a takeover
    When a long job is accepted
    And the owner is killed
    And it is cancelled
    And the workers' entries expire and the workers answer nothing for five seconds
    Then none of its tasks runs
    And every task of it that started was stopped

  Scenario: A worker disappears with the tasks that it runs
    Given a deployment of three instances
    When a job of three tasks is accepted
    And a worker that runs one of its tasks disappears
    Then it is reported as succeeded

  Scenario: A draining worker is disconnected and keeps running until its lease ends
    Given a deployment of three instances
    When a long job is accepted
    And a worker that runs one of its tasks starts draining and is disconnected
    Then its tasks run on other workers
    And no task ran twice

  Scenario: The same job is submitted to every instance
    Given a deployment of three instances
    When the same job is submitted to every instance
    Then it is reported as succeeded
    And no task ran twice

  Scenario: A refusal is definite and says when to retry
    Given a deployment of three instances
    When the store refuses every call
    Then a job is refused with a time to retry
    And it never runs

  Scenario: Revoked keys are refused by every instance
    Given a deployment of three instances
    When the key is replaced by another
    Then the old key is refused at every instance within two seconds
    And the new key is accepted

  Scenario: An external policy consents to some workers only
    Given a deployment whose policy consents to half of the workers
    When a job of three tasks is accepted
    Then it is reported as succeeded
    And it ran on those workers with valid tickets only
    And no task ran twice

  Scenario: A task that crashes every worker that starts it is given up
    Given a deployment of three instances
    When a job is accepted whose task crashes each worker that starts it
    Then it is reported as failed
    And it has crashed at most five workers

  Scenario: The owner is killed while a task crashes one worker after the other
    Given a deployment of three instances
    When a job is accepted whose task crashes each worker that starts it
    And the owner is killed once two workers have crashed
    Then it is reported as failed
    And it has crashed at most five workers
