; The classes whose replicas span several machines. Copy it to deploy/replicas.sexp, the same file for
; all controllers, and start them with --replicas deploy/replicas.sexp (the `run` line of service.toml,
; before --config). docs/replicas.md says what each state means and what to do about it.
;
; class: as jobs name it (`berth`). Only services are meant. A job of it with N x parts tasks has N
;   replicas; one whose tasks don't divide is refused with 422. Jobs accepted before stay as they are.
; parts: tasks of one replica, from 2 on.
; distinct-machines: no two parts of a replica on one machine; no unless said.
; repairs: replicas of the class under repair at a time; 4 unless said.
; moves: replicas of the class that may be down at a time because their machines are drained or the
;   cloud takes them; 1 unless said, 0: none is moved.
; backoff-leases: how long a replica that keeps failing waits for the next try, in leases of a
;   worker: at first, and at the longest; 0.5 and 10 unless said.
(replicas
  (class lotusframe (parts 2) (distinct-machines yes) (repairs 4) (moves 1) (backoff-leases 0.5 10)))
