; The classes whose replicas span several machines. Copy it to deploy/replicas.sexp, the same file for
; all controllers, and start them with --replicas deploy/replicas.sexp (the `run` line of service.toml,
; before --config). docs/replicas.md explains each state and the action that it needs.
;
; class: the name of the class in jobs (`berth`). Applies to services only. A job of the class with
;   N x parts tasks has N replicas; a job whose number of tasks is not a multiple of parts is rejected
;   with 422. Jobs that were accepted earlier don't change.
; parts: number of tasks of a replica, at least 2.
; distinct-machines: whether all parts of a replica must be on different machines; default no.
; repairs: maximum number of replicas of the class under repair at a time; default 4.
; moves: maximum number of replicas of the class that are down at a time because their machines are
;   drained or have a spot notice; default 1. 0: no replica is moved.
; backoff-leases: delay before the next attempt of a replica that keeps failing, in leases of a worker:
;   the first delay and the longest one; default 0.5 and 10.
(replicas
  (class lotusframe (parts 2) (distinct-machines yes) (repairs 4) (moves 1) (backoff-leases 0.5 10)))
