	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC :init: */

	case 3: // STATE 2
		;
		now.holder[1] = trpt->bup.ovals[1];
		now.primary[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 4: // STATE 3
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 5: // STATE 4
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 6: // STATE 5
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 7: // STATE 6
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 8: // STATE 8
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Attempt */

	case 9: // STATE 2
		;
		now.reserved = trpt->bup.oval;
		;
		goto R999;
	case 10: // STATE 11
		sv_restor();
		goto R999;
	case 11: // STATE 19
		sv_restor();
		goto R999;
	case 12: // STATE 27
		sv_restor();
		goto R999;

	case 13: // STATE 28
		;
	/* 0 */	((P2 *)_this)->answers = trpt->bup.oval;
		;
		;
		goto R999;
	case 14: // STATE 70
		sv_restor();
		goto R999;
;
		;
			case 16: // STATE 101
		sv_restor();
		goto R999;

	case 17: // STATE 102
		;
	/* 0 */	((P2 *)_this)->best = trpt->bup.oval;
		;
		;
		goto R999;

	case 18: // STATE 103
		;
	/* 0 */	((P2 *)_this)->best = trpt->bup.oval;
		;
		;
		goto R999;

	case 19: // STATE 104
		;
	/* 0 */	((P2 *)_this)->best = trpt->bup.oval;
		;
		;
		goto R999;
	case 20: // STATE 131
		sv_restor();
		goto R999;

	case 21: // STATE 132
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Node */

	case 22: // STATE 2
		;
		((P1 *)_this)->holders = trpt->bup.oval;
		;
		goto R999;

	case 23: // STATE 5
		;
		((P1 *)_this)->holders = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 24: // STATE 8
		;
		((P1 *)_this)->holders = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 25: // STATE 11
		;
		((P1 *)_this)->holders = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 26: // STATE 16
		;
		now.acked = trpt->bup.ovals[1];
		((P1 *)_this)->holders = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 28: // STATE 19
		;
		now.h_len = trpt->bup.ovals[1];
		now.h_term = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 29: // STATE 33
		;
		now.h_has = trpt->bup.ovals[3];
		now.h_len = trpt->bup.ovals[2];
		now.h_term = trpt->bup.ovals[1];
		now.h_has = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 30: // STATE 24
		;
		now.h_term = trpt->bup.ovals[1];
		now.h_len = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 31: // STATE 33
		;
		now.h_has = trpt->bup.ovals[3];
		now.h_len = trpt->bup.ovals[2];
		now.h_term = trpt->bup.ovals[1];
		now.h_has = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		
	case 32: // STATE 36
		goto R999;

	case 33: // STATE 39
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Databases */
	case 34: // STATE 29
		sv_restor();
		goto R999;
	case 35: // STATE 58
		sv_restor();
		goto R999;
	case 36: // STATE 87
		sv_restor();
		goto R999;
	case 37: // STATE 116
		sv_restor();
		goto R999;
	case 38: // STATE 145
		sv_restor();
		goto R999;
	case 39: // STATE 174
		sv_restor();
		goto R999;
	case 40: // STATE 179
		sv_restor();
		goto R999;
	case 41: // STATE 184
		sv_restor();
		goto R999;
	case 42: // STATE 189
		sv_restor();
		goto R999;
	case 43: // STATE 194
		sv_restor();
		goto R999;
	case 44: // STATE 199
		sv_restor();
		goto R999;
	case 45: // STATE 204
		sv_restor();
		goto R999;
;
		;
		
	case 47: // STATE 207
		;
		now.own[0] = trpt->bup.ovals[1];
		now.length[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 48: // STATE 211
		;
		now.wpos = trpt->bup.ovals[2];
		now.wterm = trpt->bup.ovals[1];
		now.written = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		
	case 49: // STATE 215
		goto R999;
;
		
	case 50: // STATE 213
		goto R999;
;
		;
		
	case 52: // STATE 220
		;
		now.own[1] = trpt->bup.ovals[1];
		now.length[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 53: // STATE 224
		;
		now.wpos = trpt->bup.ovals[2];
		now.wterm = trpt->bup.ovals[1];
		now.written = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		
	case 54: // STATE 228
		goto R999;
;
		
	case 55: // STATE 226
		goto R999;
;
		;
		
	case 57: // STATE 233
		;
		now.own[2] = trpt->bup.ovals[1];
		now.length[2] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 58: // STATE 237
		;
		now.wpos = trpt->bup.ovals[2];
		now.wterm = trpt->bup.ovals[1];
		now.written = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		
	case 59: // STATE 241
		goto R999;
;
		
	case 60: // STATE 239
		goto R999;

	case 61: // STATE 247
		;
		p_restor(II);
		;
		;
		goto R999;
	}

