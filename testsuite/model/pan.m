#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC :init: */
	case 3: // STATE 1 - primary_change.pml:281 - [primary[0] = 1] (0:3:2 - 1)
		IfNotBlocked
		reached[3][1] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.primary[0]);
		now.primary[0] = 1;
#ifdef VAR_RANGES
		logval("primary[0]", ((int)now.primary[0]));
#endif
		;
		/* merge: holder[1] = 0(3, 2, 3) */
		reached[3][2] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.holder[1]);
		now.holder[1] = 0;
#ifdef VAR_RANGES
		logval("holder[1]", ((int)now.holder[1]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 4: // STATE 3 - primary_change.pml:283 - [(run Databases())] (0:0:0 - 1)
		IfNotBlocked
		reached[3][3] = 1;
		if (!(addproc(II, 1, 0, 0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 5: // STATE 4 - primary_change.pml:284 - [(run Node())] (0:0:0 - 1)
		IfNotBlocked
		reached[3][4] = 1;
		if (!(addproc(II, 1, 1, 0)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 6: // STATE 5 - primary_change.pml:285 - [(run Attempt(2))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][5] = 1;
		if (!(addproc(II, 1, 2, 2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 7: // STATE 6 - primary_change.pml:289 - [(run Attempt(3))] (0:0:0 - 1)
		IfNotBlocked
		reached[3][6] = 1;
		if (!(addproc(II, 1, 2, 3)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 8: // STATE 8 - primary_change.pml:291 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[3][8] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Attempt */
	case 9: // STATE 1 - primary_change.pml:212 - [((reserved==(t-1)))] (30:0:1 - 1)
		IfNotBlocked
		reached[2][1] = 1;
		if (!((((int)now.reserved)==(((int)((P2 *)_this)->t)-1))))
			continue;
		/* merge: reserved = t(0, 2, 30) */
		reached[2][2] = 1;
		(trpt+1)->bup.oval = ((int)now.reserved);
		now.reserved = ((int)((P2 *)_this)->t);
#ifdef VAR_RANGES
		logval("reserved", ((int)now.reserved));
#endif
		;
		/* merge: .(goto)(0, 31, 30) */
		reached[2][31] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 10: // STATE 11 - primary_change.pml:215 - [D_STEP215]
		if (!(boq == -1 && ( !(((int)((P2 *)_this)->fenced[0]))&&(((int)now.fence[0])<=((int)((P2 *)_this)->t)))))
			continue;

		reached[2][11] = 1;
		reached[2][t->st] = 1;
		reached[2][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_289_0: /* 2 */
		if (!(( !(((int)((P2 *)_this)->fenced[0]))&&(((int)now.fence[0])<=((int)((P2 *)_this)->t)))))
			Uerror("block in d_step seq");
S_295_0: /* 2 */
S_290_0: /* 2 */
		now.fence[0] = ((int)((P2 *)_this)->t);
#ifdef VAR_RANGES
		logval("fence[0]", ((int)now.fence[0]));
#endif
		;
S_291_0: /* 2 */
		((P2 *)_this)->fenced[0] = 1;
#ifdef VAR_RANGES
		logval("Attempt:fenced[0]", ((int)((P2 *)_this)->fenced[0]));
#endif
		;
S_292_0: /* 2 */
		((P2 *)_this)->f_term[0] = ((int)now.term[0]);
#ifdef VAR_RANGES
		logval("Attempt:f_term[0]", ((int)((P2 *)_this)->f_term[0]));
#endif
		;
S_293_0: /* 2 */
		((P2 *)_this)->f_len[0] = ((int)now.length[0]);
#ifdef VAR_RANGES
		logval("Attempt:f_len[0]", ((int)((P2 *)_this)->f_len[0]));
#endif
		;
S_294_0: /* 2 */
		((P2 *)_this)->answers = (((int)((P2 *)_this)->answers)+1);
#ifdef VAR_RANGES
		logval("Attempt:answers", ((int)((P2 *)_this)->answers));
#endif
		;
		goto S_316_0;
S_316_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 11: // STATE 19 - primary_change.pml:216 - [D_STEP216]
		if (!(boq == -1 && ( !(((int)((P2 *)_this)->fenced[1]))&&(((int)now.fence[1])<=((int)((P2 *)_this)->t)))))
			continue;

		reached[2][19] = 1;
		reached[2][t->st] = 1;
		reached[2][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_297_0: /* 2 */
		if (!(( !(((int)((P2 *)_this)->fenced[1]))&&(((int)now.fence[1])<=((int)((P2 *)_this)->t)))))
			Uerror("block in d_step seq");
S_303_0: /* 2 */
S_298_0: /* 2 */
		now.fence[1] = ((int)((P2 *)_this)->t);
#ifdef VAR_RANGES
		logval("fence[1]", ((int)now.fence[1]));
#endif
		;
S_299_0: /* 2 */
		((P2 *)_this)->fenced[1] = 1;
#ifdef VAR_RANGES
		logval("Attempt:fenced[1]", ((int)((P2 *)_this)->fenced[1]));
#endif
		;
S_300_0: /* 2 */
		((P2 *)_this)->f_term[1] = ((int)now.term[1]);
#ifdef VAR_RANGES
		logval("Attempt:f_term[1]", ((int)((P2 *)_this)->f_term[1]));
#endif
		;
S_301_0: /* 2 */
		((P2 *)_this)->f_len[1] = ((int)now.length[1]);
#ifdef VAR_RANGES
		logval("Attempt:f_len[1]", ((int)((P2 *)_this)->f_len[1]));
#endif
		;
S_302_0: /* 2 */
		((P2 *)_this)->answers = (((int)((P2 *)_this)->answers)+1);
#ifdef VAR_RANGES
		logval("Attempt:answers", ((int)((P2 *)_this)->answers));
#endif
		;
		goto S_316_0; /* ';' */
		goto S_316_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 12: // STATE 27 - primary_change.pml:217 - [D_STEP217]
		if (!(boq == -1 && ( !(((int)((P2 *)_this)->fenced[2]))&&(((int)now.fence[2])<=((int)((P2 *)_this)->t)))))
			continue;

		reached[2][27] = 1;
		reached[2][t->st] = 1;
		reached[2][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_305_0: /* 2 */
		if (!(( !(((int)((P2 *)_this)->fenced[2]))&&(((int)now.fence[2])<=((int)((P2 *)_this)->t)))))
			Uerror("block in d_step seq");
S_311_0: /* 2 */
S_306_0: /* 2 */
		now.fence[2] = ((int)((P2 *)_this)->t);
#ifdef VAR_RANGES
		logval("fence[2]", ((int)now.fence[2]));
#endif
		;
S_307_0: /* 2 */
		((P2 *)_this)->fenced[2] = 1;
#ifdef VAR_RANGES
		logval("Attempt:fenced[2]", ((int)((P2 *)_this)->fenced[2]));
#endif
		;
S_308_0: /* 2 */
		((P2 *)_this)->f_term[2] = ((int)now.term[2]);
#ifdef VAR_RANGES
		logval("Attempt:f_term[2]", ((int)((P2 *)_this)->f_term[2]));
#endif
		;
S_309_0: /* 2 */
		((P2 *)_this)->f_len[2] = ((int)now.length[2]);
#ifdef VAR_RANGES
		logval("Attempt:f_len[2]", ((int)((P2 *)_this)->f_len[2]));
#endif
		;
S_310_0: /* 2 */
		((P2 *)_this)->answers = (((int)((P2 *)_this)->answers)+1);
#ifdef VAR_RANGES
		logval("Attempt:answers", ((int)((P2 *)_this)->answers));
#endif
		;
		goto S_316_0; /* ';' */
		goto S_316_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 13: // STATE 28 - primary_change.pml:218 - [((answers>=2))] (0:0:1 - 1)
		IfNotBlocked
		reached[2][28] = 1;
		if (!((((int)((P2 *)_this)->answers)>=2)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: answers */  (trpt+1)->bup.oval = ((P2 *)_this)->answers;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P2 *)_this)->answers = 0;
		_m = 3; goto P999; /* 0 */
	case 14: // STATE 70 - primary_change.pml:221 - [D_STEP221]
		IfNotBlocked

		reached[2][70] = 1;
		reached[2][t->st] = 1;
		reached[2][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_319_0: /* 2 */
		((P2 *)_this)->best = 255;
#ifdef VAR_RANGES
		logval("Attempt:best", ((int)((P2 *)_this)->best));
#endif
		;
S_320_0: /* 2 */
		((P2 *)_this)->d = 0;
#ifdef VAR_RANGES
		logval("Attempt:d", ((int)((P2 *)_this)->d));
#endif
		;
S_340_0: /* 2 */
S_339_0: /* 2 */
S_321_0: /* 2 */
		if (!((((int)((P2 *)_this)->d)<3)))
			goto S_339_1;
S_334_0: /* 2 */
S_322_0: /* 2 */
		if (!((((int)((P2 *)_this)->fenced[ Index(((int)((P2 *)_this)->d), 3) ])&&(((int)((P2 *)_this)->f_term[ Index(((int)((P2 *)_this)->d), 3) ])>=((int)now.published)))))
			goto S_334_1;
S_331_0: /* 2 */
S_323_0: /* 2 */
		if (!((((int)((P2 *)_this)->best)==255)))
			goto S_331_1;
S_324_0: /* 2 */
		((P2 *)_this)->best = ((int)((P2 *)_this)->d);
#ifdef VAR_RANGES
		logval("Attempt:best", ((int)((P2 *)_this)->best));
#endif
		;
		goto S_332_0;
S_331_1: /* 3 */
S_325_0: /* 2 */
		/* else */;
S_329_0: /* 2 */
S_326_0: /* 2 */
		if (!(((((int)((P2 *)_this)->f_len[ Index(((int)((P2 *)_this)->d), 3) ])>((int)((P2 *)_this)->f_len[ Index(((int)((P2 *)_this)->best), 3) ]))||((((int)((P2 *)_this)->f_len[ Index(((int)((P2 *)_this)->d), 3) ])==((int)((P2 *)_this)->f_len[ Index(((int)((P2 *)_this)->best), 3) ]))&&(((int)((P2 *)_this)->f_term[ Index(((int)((P2 *)_this)->d), 3) ])>((int)((P2 *)_this)->f_term[ Index(((int)((P2 *)_this)->best), 3) ]))))))
			goto S_329_1;
S_327_0: /* 2 */
		((P2 *)_this)->best = ((int)((P2 *)_this)->d);
#ifdef VAR_RANGES
		logval("Attempt:best", ((int)((P2 *)_this)->best));
#endif
		;
		goto S_330_0;
S_329_1: /* 3 */
S_328_0: /* 2 */
		/* else */;
		goto S_330_0;
S_329_2: /* 3 */
		Uerror("blocking sel in d_step (nr.0, near line 231)");
S_330_0: /* 2 */
		goto S_332_0;
S_331_2: /* 3 */
		Uerror("blocking sel in d_step (nr.1, near line 228)");
S_332_0: /* 2 */
		goto S_335_0;
S_334_1: /* 3 */
S_333_0: /* 2 */
		/* else */;
		goto S_335_0;
S_334_2: /* 3 */
		Uerror("blocking sel in d_step (nr.2, near line 226)");
S_335_0: /* 2 */
S_336_0: /* 2 */
		((P2 *)_this)->d = (((int)((P2 *)_this)->d)+1);
#ifdef VAR_RANGES
		logval("Attempt:d", ((int)((P2 *)_this)->d));
#endif
		;
		goto S_340_0; /* ';' */
S_339_1: /* 3 */
S_337_0: /* 2 */
		/* else */;
S_338_0: /* 2 */
		goto S_342_0;	/* 'goto' */
S_339_2: /* 3 */
		Uerror("blocking sel in d_step (nr.3, near line 224)");
S_341_0: /* 2 */
		goto S_342_0;	/* 'break' */
S_342_0: /* 2 */
		((P2 *)_this)->d = 0;
#ifdef VAR_RANGES
		logval("Attempt:d", ((int)((P2 *)_this)->d));
#endif
		;
S_351_0: /* 2 */
S_350_0: /* 2 */
S_343_0: /* 2 */
		if (!((((int)((P2 *)_this)->d)<3)))
			goto S_350_1;
S_344_0: /* 2 */
		((P2 *)_this)->f_term[ Index(((P2 *)_this)->d, 3) ] = 0;
#ifdef VAR_RANGES
		logval("Attempt:f_term[Attempt:d]", ((int)((P2 *)_this)->f_term[ Index(((int)((P2 *)_this)->d), 3) ]));
#endif
		;
S_345_0: /* 2 */
		((P2 *)_this)->f_len[ Index(((P2 *)_this)->d, 3) ] = 0;
#ifdef VAR_RANGES
		logval("Attempt:f_len[Attempt:d]", ((int)((P2 *)_this)->f_len[ Index(((int)((P2 *)_this)->d), 3) ]));
#endif
		;
S_346_0: /* 2 */
		((P2 *)_this)->fenced[ Index(((P2 *)_this)->d, 3) ] = 0;
#ifdef VAR_RANGES
		logval("Attempt:fenced[Attempt:d]", ((int)((P2 *)_this)->fenced[ Index(((int)((P2 *)_this)->d), 3) ]));
#endif
		;
S_347_0: /* 2 */
		((P2 *)_this)->d = (((int)((P2 *)_this)->d)+1);
#ifdef VAR_RANGES
		logval("Attempt:d", ((int)((P2 *)_this)->d));
#endif
		;
		goto S_351_0; /* ';' */
S_350_1: /* 3 */
S_348_0: /* 2 */
		/* else */;
S_349_0: /* 2 */
		goto S_353_0;	/* 'goto' */
S_350_2: /* 3 */
		Uerror("blocking sel in d_step (nr.4, near line 242)");
S_352_0: /* 2 */
		goto S_353_0;	/* 'break' */
S_353_0: /* 2 */
		((P2 *)_this)->d = 0;
#ifdef VAR_RANGES
		logval("Attempt:d", ((int)((P2 *)_this)->d));
#endif
		;
S_354_0: /* 2 */
		((P2 *)_this)->answers = 0;
#ifdef VAR_RANGES
		logval("Attempt:answers", ((int)((P2 *)_this)->answers));
#endif
		;
		goto S_356_0;
S_356_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 15: // STATE 71 - primary_change.pml:249 - [((best!=255))] (0:0:0 - 1)
		IfNotBlocked
		reached[2][71] = 1;
		if (!((((int)((P2 *)_this)->best)!=255)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 16: // STATE 101 - primary_change.pml:251 - [D_STEP251]
		if (!(boq == -1 && ((((int)now.fence[ Index(((int)((P2 *)_this)->best), 3) ])<=((int)((P2 *)_this)->t))&&(((int)now.term[ Index(((int)((P2 *)_this)->best), 3) ])<((int)((P2 *)_this)->t)))))
			continue;

		reached[2][101] = 1;
		reached[2][t->st] = 1;
		reached[2][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_357_0: /* 2 */
		if (!(((((int)now.fence[ Index(((int)((P2 *)_this)->best), 3) ])<=((int)((P2 *)_this)->t))&&(((int)now.term[ Index(((int)((P2 *)_this)->best), 3) ])<((int)((P2 *)_this)->t)))))
			Uerror("block in d_step seq");
S_358_0: /* 2 */
		spin_assert((((int)now.holder[ Index(((int)((P2 *)_this)->t), 4) ])==255), "(holder[t]==255)", II, tt, t);
S_359_0: /* 2 */
		now.holder[ Index(((P2 *)_this)->t, 4) ] = ((int)((P2 *)_this)->best);
#ifdef VAR_RANGES
		logval("holder[Attempt:t]", ((int)now.holder[ Index(((int)((P2 *)_this)->t), 4) ]));
#endif
		;
S_360_0: /* 2 */
		now.parent[ Index(((P2 *)_this)->t, 4) ] = ((int)now.own[ Index(((int)((P2 *)_this)->best), 3) ]);
#ifdef VAR_RANGES
		logval("parent[Attempt:t]", ((int)now.parent[ Index(((int)((P2 *)_this)->t), 4) ]));
#endif
		;
S_361_0: /* 2 */
		now.base[ Index(((P2 *)_this)->t, 4) ] = ((int)now.length[ Index(((int)((P2 *)_this)->best), 3) ]);
#ifdef VAR_RANGES
		logval("base[Attempt:t]", ((int)now.base[ Index(((int)((P2 *)_this)->t), 4) ]));
#endif
		;
S_382_0: /* 2 */
S_380_0: /* 2 */
S_362_0: /* 2 */
		if (!((((int)now.acked)&&(((int)((P2 *)_this)->t)>((int)now.wterm)))))
			goto S_380_1;
S_376_0: /* 2 */
S_363_0: /* 2 */
		now.h_term = ((int)((P2 *)_this)->t);
#ifdef VAR_RANGES
		logval("h_term", ((int)now.h_term));
#endif
		;
S_364_0: /* 2 */
		now.h_len = 255;
#ifdef VAR_RANGES
		logval("h_len", ((int)now.h_len));
#endif
		;
S_371_0: /* 2 */
S_370_0: /* 2 */
S_365_0: /* 2 */
		if (!(((((int)now.h_term)==((int)now.wterm))||(((int)now.h_term)==0))))
			goto S_370_1;
S_366_0: /* 2 */
		goto S_373_0;	/* 'goto' */
S_370_1: /* 3 */
S_367_0: /* 2 */
		/* else */;
S_368_0: /* 2 */
		now.h_len = ( ((((int)now.h_len)<((int)now.base[ Index(((int)now.h_term), 4) ]))) ? (((int)now.h_len)) : (((int)now.base[ Index(((int)now.h_term), 4) ])) );
#ifdef VAR_RANGES
		logval("h_len", ((int)now.h_len));
#endif
		;
S_369_0: /* 2 */
		now.h_term = ((int)now.parent[ Index(((int)now.h_term), 4) ]);
#ifdef VAR_RANGES
		logval("h_term", ((int)now.h_term));
#endif
		;
		goto S_371_0; /* ';' */
S_370_2: /* 3 */
		Uerror("blocking sel in d_step (nr.5, near line 61)");
S_372_0: /* 2 */
		goto S_373_0;	/* 'break' */
S_373_0: /* 2 */
		now.h_has = ((((int)now.h_term)==((int)now.wterm))&&(((int)now.h_len)>=((int)now.wpos)));
#ifdef VAR_RANGES
		logval("h_has", ((int)now.h_has));
#endif
		;
S_374_0: /* 2 */
		now.h_term = 0;
#ifdef VAR_RANGES
		logval("h_term", ((int)now.h_term));
#endif
		;
S_375_0: /* 2 */
		now.h_len = 0;
#ifdef VAR_RANGES
		logval("h_len", ((int)now.h_len));
#endif
		;
		goto S_377_0;
S_377_0: /* 2 */
		spin_assert(((int)now.h_has), "h_has", II, tt, t);
S_378_0: /* 2 */
		now.h_has = 0;
#ifdef VAR_RANGES
		logval("h_has", ((int)now.h_has));
#endif
		;
		goto S_381_0;
S_380_1: /* 3 */
S_379_0: /* 2 */
		/* else */;
		goto S_381_0;
S_380_2: /* 3 */
		Uerror("blocking sel in d_step (nr.6, near line 74)");
S_381_0: /* 2 */
		goto S_383_0;
S_383_0: /* 2 */
		now.term[ Index(((P2 *)_this)->best, 3) ] = ((int)((P2 *)_this)->t);
#ifdef VAR_RANGES
		logval("term[Attempt:best]", ((int)now.term[ Index(((int)((P2 *)_this)->best), 3) ]));
#endif
		;
S_384_0: /* 2 */
		now.own[ Index(((P2 *)_this)->best, 3) ] = ((int)((P2 *)_this)->t);
#ifdef VAR_RANGES
		logval("own[Attempt:best]", ((int)now.own[ Index(((int)((P2 *)_this)->best), 3) ]));
#endif
		;
S_385_0: /* 2 */
		now.primary[ Index(((P2 *)_this)->best, 3) ] = 1;
#ifdef VAR_RANGES
		logval("primary[Attempt:best]", ((int)now.primary[ Index(((int)((P2 *)_this)->best), 3) ]));
#endif
		;
		goto S_390_0;
S_390_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 17: // STATE 102 - primary_change.pml:265 - [(((best!=0)&&((term[0]==t)&&(length[0]>=base[t]))))] (0:0:1 - 1)
		IfNotBlocked
		reached[2][102] = 1;
		if (!(((((int)((P2 *)_this)->best)!=0)&&((((int)now.term[0])==((int)((P2 *)_this)->t))&&(((int)now.length[0])>=((int)now.base[ Index(((int)((P2 *)_this)->t), 4) ]))))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: best */  (trpt+1)->bup.oval = ((P2 *)_this)->best;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P2 *)_this)->best = 0;
		_m = 3; goto P999; /* 0 */
	case 18: // STATE 103 - primary_change.pml:266 - [(((best!=1)&&((term[1]==t)&&(length[1]>=base[t]))))] (0:0:1 - 1)
		IfNotBlocked
		reached[2][103] = 1;
		if (!(((((int)((P2 *)_this)->best)!=1)&&((((int)now.term[1])==((int)((P2 *)_this)->t))&&(((int)now.length[1])>=((int)now.base[ Index(((int)((P2 *)_this)->t), 4) ]))))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: best */  (trpt+1)->bup.oval = ((P2 *)_this)->best;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P2 *)_this)->best = 0;
		_m = 3; goto P999; /* 0 */
	case 19: // STATE 104 - primary_change.pml:267 - [(((best!=2)&&((term[2]==t)&&(length[2]>=base[t]))))] (0:0:1 - 1)
		IfNotBlocked
		reached[2][104] = 1;
		if (!(((((int)((P2 *)_this)->best)!=2)&&((((int)now.term[2])==((int)((P2 *)_this)->t))&&(((int)now.length[2])>=((int)now.base[ Index(((int)((P2 *)_this)->t), 4) ]))))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: best */  (trpt+1)->bup.oval = ((P2 *)_this)->best;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P2 *)_this)->best = 0;
		_m = 3; goto P999; /* 0 */
	case 20: // STATE 131 - primary_change.pml:271 - [D_STEP271]
		if (!(boq == -1 && (((int)now.reserved)==((int)((P2 *)_this)->t))))
			continue;

		reached[2][131] = 1;
		reached[2][t->st] = 1;
		reached[2][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_392_0: /* 2 */
		if (!((((int)now.reserved)==((int)((P2 *)_this)->t))))
			Uerror("block in d_step seq");
S_393_0: /* 2 */
		now.published = ((int)((P2 *)_this)->t);
#ifdef VAR_RANGES
		logval("published", ((int)now.published));
#endif
		;
S_394_0: /* 2 */
		((P2 *)_this)->best = 0;
#ifdef VAR_RANGES
		logval("Attempt:best", ((int)((P2 *)_this)->best));
#endif
		;
S_415_0: /* 2 */
S_413_0: /* 2 */
S_395_0: /* 2 */
		if (!((((int)now.acked)&&(((int)((P2 *)_this)->t)>((int)now.wterm)))))
			goto S_413_1;
S_409_0: /* 2 */
S_396_0: /* 2 */
		now.h_term = ((int)((P2 *)_this)->t);
#ifdef VAR_RANGES
		logval("h_term", ((int)now.h_term));
#endif
		;
S_397_0: /* 2 */
		now.h_len = 255;
#ifdef VAR_RANGES
		logval("h_len", ((int)now.h_len));
#endif
		;
S_404_0: /* 2 */
S_403_0: /* 2 */
S_398_0: /* 2 */
		if (!(((((int)now.h_term)==((int)now.wterm))||(((int)now.h_term)==0))))
			goto S_403_1;
S_399_0: /* 2 */
		goto S_406_0;	/* 'goto' */
S_403_1: /* 3 */
S_400_0: /* 2 */
		/* else */;
S_401_0: /* 2 */
		now.h_len = ( ((((int)now.h_len)<((int)now.base[ Index(((int)now.h_term), 4) ]))) ? (((int)now.h_len)) : (((int)now.base[ Index(((int)now.h_term), 4) ])) );
#ifdef VAR_RANGES
		logval("h_len", ((int)now.h_len));
#endif
		;
S_402_0: /* 2 */
		now.h_term = ((int)now.parent[ Index(((int)now.h_term), 4) ]);
#ifdef VAR_RANGES
		logval("h_term", ((int)now.h_term));
#endif
		;
		goto S_404_0; /* ';' */
S_403_2: /* 3 */
		Uerror("blocking sel in d_step (nr.7, near line 61)");
S_405_0: /* 2 */
		goto S_406_0;	/* 'break' */
S_406_0: /* 2 */
		now.h_has = ((((int)now.h_term)==((int)now.wterm))&&(((int)now.h_len)>=((int)now.wpos)));
#ifdef VAR_RANGES
		logval("h_has", ((int)now.h_has));
#endif
		;
S_407_0: /* 2 */
		now.h_term = 0;
#ifdef VAR_RANGES
		logval("h_term", ((int)now.h_term));
#endif
		;
S_408_0: /* 2 */
		now.h_len = 0;
#ifdef VAR_RANGES
		logval("h_len", ((int)now.h_len));
#endif
		;
		goto S_410_0;
S_410_0: /* 2 */
		spin_assert(((int)now.h_has), "h_has", II, tt, t);
S_411_0: /* 2 */
		now.h_has = 0;
#ifdef VAR_RANGES
		logval("h_has", ((int)now.h_has));
#endif
		;
		goto S_414_0;
S_413_1: /* 3 */
S_412_0: /* 2 */
		/* else */;
		goto S_414_0;
S_413_2: /* 3 */
		Uerror("blocking sel in d_step (nr.8, near line 74)");
S_414_0: /* 2 */
		goto S_417_0;
S_417_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 21: // STATE 132 - primary_change.pml:277 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[2][132] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Node */
	case 22: // STATE 1 - primary_change.pml:158 - [((written&&(published==wterm)))] (13:0:1 - 1)
		IfNotBlocked
		reached[1][1] = 1;
		if (!((((int)now.written)&&(((int)now.published)==((int)now.wterm)))))
			continue;
		/* merge: holders = 1(0, 2, 13) */
		reached[1][2] = 1;
		(trpt+1)->bup.oval = ((int)((P1 *)_this)->holders);
		((P1 *)_this)->holders = 1;
#ifdef VAR_RANGES
		logval("Node:holders", ((int)((P1 *)_this)->holders));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 23: // STATE 4 - primary_change.pml:161 - [(((holder[wterm]!=0)&&((term[0]==wterm)&&(length[0]>=wpos))))] (38:0:2 - 1)
		IfNotBlocked
		reached[1][4] = 1;
		if (!(((((int)now.holder[ Index(((int)now.wterm), 4) ])!=0)&&((((int)now.term[0])==((int)now.wterm))&&(((int)now.length[0])>=((int)now.wpos))))))
			continue;
		/* merge: holders = (holders+1)(0, 5, 38) */
		reached[1][5] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->holders);
		((P1 *)_this)->holders = (((int)((P1 *)_this)->holders)+1);
#ifdef VAR_RANGES
		logval("Node:holders", ((int)((P1 *)_this)->holders));
#endif
		;
		if (TstOnly) return 1; /* TT */
		/* dead 2: holders */  
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P1 *)_this)->holders = 0;
		/* merge: .(goto)(0, 14, 38) */
		reached[1][14] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 24: // STATE 7 - primary_change.pml:162 - [(((holder[wterm]!=1)&&((term[1]==wterm)&&(length[1]>=wpos))))] (38:0:2 - 1)
		IfNotBlocked
		reached[1][7] = 1;
		if (!(((((int)now.holder[ Index(((int)now.wterm), 4) ])!=1)&&((((int)now.term[1])==((int)now.wterm))&&(((int)now.length[1])>=((int)now.wpos))))))
			continue;
		/* merge: holders = (holders+1)(0, 8, 38) */
		reached[1][8] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->holders);
		((P1 *)_this)->holders = (((int)((P1 *)_this)->holders)+1);
#ifdef VAR_RANGES
		logval("Node:holders", ((int)((P1 *)_this)->holders));
#endif
		;
		if (TstOnly) return 1; /* TT */
		/* dead 2: holders */  
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P1 *)_this)->holders = 0;
		/* merge: .(goto)(0, 14, 38) */
		reached[1][14] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 25: // STATE 10 - primary_change.pml:163 - [(((holder[wterm]!=2)&&((term[2]==wterm)&&(length[2]>=wpos))))] (38:0:2 - 1)
		IfNotBlocked
		reached[1][10] = 1;
		if (!(((((int)now.holder[ Index(((int)now.wterm), 4) ])!=2)&&((((int)now.term[2])==((int)now.wterm))&&(((int)now.length[2])>=((int)now.wpos))))))
			continue;
		/* merge: holders = (holders+1)(0, 11, 38) */
		reached[1][11] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->holders);
		((P1 *)_this)->holders = (((int)((P1 *)_this)->holders)+1);
#ifdef VAR_RANGES
		logval("Node:holders", ((int)((P1 *)_this)->holders));
#endif
		;
		if (TstOnly) return 1; /* TT */
		/* dead 2: holders */  
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P1 *)_this)->holders = 0;
		/* merge: .(goto)(0, 14, 38) */
		reached[1][14] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 26: // STATE 15 - primary_change.pml:167 - [holders = 0] (0:37:2 - 1)
		IfNotBlocked
		reached[1][15] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P1 *)_this)->holders);
		((P1 *)_this)->holders = 0;
#ifdef VAR_RANGES
		logval("Node:holders", ((int)((P1 *)_this)->holders));
#endif
		;
		/* merge: acked = 1(37, 16, 37) */
		reached[1][16] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.acked);
		now.acked = 1;
#ifdef VAR_RANGES
		logval("acked", ((int)now.acked));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 27: // STATE 17 - primary_change.pml:75 - [((acked&&(published>wterm)))] (0:0:0 - 1)
		IfNotBlocked
		reached[1][17] = 1;
		if (!((((int)now.acked)&&(((int)now.published)>((int)now.wterm)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 28: // STATE 18 - primary_change.pml:59 - [h_term = published] (0:25:2 - 1)
		IfNotBlocked
		reached[1][18] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.h_term);
		now.h_term = ((int)now.published);
#ifdef VAR_RANGES
		logval("h_term", ((int)now.h_term));
#endif
		;
		/* merge: h_len = 255(25, 19, 25) */
		reached[1][19] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.h_len);
		now.h_len = 255;
#ifdef VAR_RANGES
		logval("h_len", ((int)now.h_len));
#endif
		;
		/* merge: .(goto)(0, 26, 25) */
		reached[1][26] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 29: // STATE 20 - primary_change.pml:62 - [(((h_term==wterm)||(h_term==0)))] (39:0:4 - 1)
		IfNotBlocked
		reached[1][20] = 1;
		if (!(((((int)now.h_term)==((int)now.wterm))||(((int)now.h_term)==0))))
			continue;
		/* merge: goto :b7(39, 21, 39) */
		reached[1][21] = 1;
		;
		/* merge: h_has = ((h_term==wterm)&&(h_len>=wpos))(39, 28, 39) */
		reached[1][28] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.h_has);
		now.h_has = ((((int)now.h_term)==((int)now.wterm))&&(((int)now.h_len)>=((int)now.wpos)));
#ifdef VAR_RANGES
		logval("h_has", ((int)now.h_has));
#endif
		;
		/* merge: h_term = 0(39, 29, 39) */
		reached[1][29] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.h_term);
		now.h_term = 0;
#ifdef VAR_RANGES
		logval("h_term", ((int)now.h_term));
#endif
		;
		/* merge: h_len = 0(39, 30, 39) */
		reached[1][30] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.h_len);
		now.h_len = 0;
#ifdef VAR_RANGES
		logval("h_len", ((int)now.h_len));
#endif
		;
		/* merge: assert(h_has)(39, 32, 39) */
		reached[1][32] = 1;
		spin_assert(((int)now.h_has), "h_has", II, tt, t);
		/* merge: h_has = 0(39, 33, 39) */
		reached[1][33] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.h_has);
		now.h_has = 0;
#ifdef VAR_RANGES
		logval("h_has", ((int)now.h_has));
#endif
		;
		/* merge: .(goto)(39, 36, 39) */
		reached[1][36] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 30: // STATE 23 - primary_change.pml:64 - [h_len = ( ((h_len<base[h_term])) -> (h_len) : (base[h_term]) )] (0:25:2 - 1)
		IfNotBlocked
		reached[1][23] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.h_len);
		now.h_len = ( ((((int)now.h_len)<((int)now.base[ Index(((int)now.h_term), 4) ]))) ? (((int)now.h_len)) : (((int)now.base[ Index(((int)now.h_term), 4) ])) );
#ifdef VAR_RANGES
		logval("h_len", ((int)now.h_len));
#endif
		;
		/* merge: h_term = parent[h_term](25, 24, 25) */
		reached[1][24] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.h_term);
		now.h_term = ((int)now.parent[ Index(((int)now.h_term), 4) ]);
#ifdef VAR_RANGES
		logval("h_term", ((int)now.h_term));
#endif
		;
		/* merge: .(goto)(0, 26, 25) */
		reached[1][26] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 31: // STATE 28 - primary_change.pml:67 - [h_has = ((h_term==wterm)&&(h_len>=wpos))] (0:39:4 - 3)
		IfNotBlocked
		reached[1][28] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.h_has);
		now.h_has = ((((int)now.h_term)==((int)now.wterm))&&(((int)now.h_len)>=((int)now.wpos)));
#ifdef VAR_RANGES
		logval("h_has", ((int)now.h_has));
#endif
		;
		/* merge: h_term = 0(39, 29, 39) */
		reached[1][29] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.h_term);
		now.h_term = 0;
#ifdef VAR_RANGES
		logval("h_term", ((int)now.h_term));
#endif
		;
		/* merge: h_len = 0(39, 30, 39) */
		reached[1][30] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.h_len);
		now.h_len = 0;
#ifdef VAR_RANGES
		logval("h_len", ((int)now.h_len));
#endif
		;
		/* merge: assert(h_has)(39, 32, 39) */
		reached[1][32] = 1;
		spin_assert(((int)now.h_has), "h_has", II, tt, t);
		/* merge: h_has = 0(39, 33, 39) */
		reached[1][33] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.h_has);
		now.h_has = 0;
#ifdef VAR_RANGES
		logval("h_has", ((int)now.h_has));
#endif
		;
		/* merge: .(goto)(39, 36, 39) */
		reached[1][36] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 32: // STATE 36 - primary_change.pml:81 - [.(goto)] (0:39:0 - 2)
		IfNotBlocked
		reached[1][36] = 1;
		;
		_m = 3; goto P999; /* 0 */
	case 33: // STATE 39 - primary_change.pml:171 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[1][39] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC Databases */
	case 34: // STATE 29 - primary_change.pml:134 - [D_STEP134]
		if (!(boq == -1 && (((((int)now.primary[1])&& !((((int)now.fence[0])>((int)now.term[1]))))&& !((((int)now.fence[1])>((int)now.term[1]))))&&(((int)now.term[0])<((int)now.term[1])))))
			continue;

		reached[0][29] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_000_0: /* 2 */
		if (!((((((int)now.primary[1])&& !((((int)now.fence[0])>((int)now.term[1]))))&& !((((int)now.fence[1])>((int)now.term[1]))))&&(((int)now.term[0])<((int)now.term[1])))))
			Uerror("block in d_step seq");
S_027_0: /* 2 */
S_021_0: /* 2 */
S_001_0: /* 2 */
		now.c_a = ((int)now.own[0]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_002_0: /* 2 */
		now.c_la = ((int)now.length[0]);
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_003_0: /* 2 */
		now.c_b = ((int)now.term[1]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_004_0: /* 2 */
		now.c_lb = 255;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_014_0: /* 2 */
S_013_0: /* 2 */
S_005_0: /* 2 */
		if (!((((int)now.c_a)==((int)now.c_b))))
			goto S_013_1;
S_006_0: /* 2 */
		goto S_016_0;	/* 'goto' */
S_013_1: /* 3 */
S_007_0: /* 2 */
		if (!((((int)now.c_a)>((int)now.c_b))))
			goto S_013_2;
S_008_0: /* 2 */
		now.c_la = ( ((((int)now.c_la)<((int)now.base[ Index(((int)now.c_a), 4) ]))) ? (((int)now.c_la)) : (((int)now.base[ Index(((int)now.c_a), 4) ])) );
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_009_0: /* 2 */
		now.c_a = ((int)now.parent[ Index(((int)now.c_a), 4) ]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
		goto S_014_0; /* ';' */
S_013_2: /* 3 */
S_010_0: /* 2 */
		if (!((((int)now.c_b)>((int)now.c_a))))
			goto S_013_3;
S_011_0: /* 2 */
		now.c_lb = ( ((((int)now.c_lb)<((int)now.base[ Index(((int)now.c_b), 4) ]))) ? (((int)now.c_lb)) : (((int)now.base[ Index(((int)now.c_b), 4) ])) );
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_012_0: /* 2 */
		now.c_b = ((int)now.parent[ Index(((int)now.c_b), 4) ]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
		goto S_014_0; /* ';' */
S_013_3: /* 3 */
		Uerror("blocking sel in d_step (nr.9, near line 87)");
S_015_0: /* 2 */
		goto S_016_0;	/* 'break' */
S_016_0: /* 2 */
		now.c_len = ( ((((int)now.c_la)<((int)now.c_lb))) ? (((int)now.c_la)) : (((int)now.c_lb)) );
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_017_0: /* 2 */
		now.c_a = 0;
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_018_0: /* 2 */
		now.c_b = 0;
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_019_0: /* 2 */
		now.c_la = 0;
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_020_0: /* 2 */
		now.c_lb = 0;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
		goto S_022_0;
S_022_0: /* 2 */
		now.length[0] = ( ((((int)now.c_len)<((int)now.length[1]))) ? (((int)now.c_len)) : (((int)now.length[1])) );
#ifdef VAR_RANGES
		logval("length[0]", ((int)now.length[0]));
#endif
		;
S_023_0: /* 2 */
		now.c_len = 0;
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_024_0: /* 2 */
		now.own[0] = ((int)now.own[1]);
#ifdef VAR_RANGES
		logval("own[0]", ((int)now.own[0]));
#endif
		;
S_025_0: /* 2 */
		now.term[0] = ((int)now.term[1]);
#ifdef VAR_RANGES
		logval("term[0]", ((int)now.term[0]));
#endif
		;
S_026_0: /* 2 */
		now.primary[0] = 0;
#ifdef VAR_RANGES
		logval("primary[0]", ((int)now.primary[0]));
#endif
		;
		goto S_244_0;
S_244_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 35: // STATE 58 - primary_change.pml:135 - [D_STEP135]
		if (!(boq == -1 && (((((int)now.primary[2])&& !((((int)now.fence[0])>((int)now.term[2]))))&& !((((int)now.fence[2])>((int)now.term[2]))))&&(((int)now.term[0])<((int)now.term[2])))))
			continue;

		reached[0][58] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_029_0: /* 2 */
		if (!((((((int)now.primary[2])&& !((((int)now.fence[0])>((int)now.term[2]))))&& !((((int)now.fence[2])>((int)now.term[2]))))&&(((int)now.term[0])<((int)now.term[2])))))
			Uerror("block in d_step seq");
S_056_0: /* 2 */
S_050_0: /* 2 */
S_030_0: /* 2 */
		now.c_a = ((int)now.own[0]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_031_0: /* 2 */
		now.c_la = ((int)now.length[0]);
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_032_0: /* 2 */
		now.c_b = ((int)now.term[2]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_033_0: /* 2 */
		now.c_lb = 255;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_043_0: /* 2 */
S_042_0: /* 2 */
S_034_0: /* 2 */
		if (!((((int)now.c_a)==((int)now.c_b))))
			goto S_042_1;
S_035_0: /* 2 */
		goto S_045_0;	/* 'goto' */
S_042_1: /* 3 */
S_036_0: /* 2 */
		if (!((((int)now.c_a)>((int)now.c_b))))
			goto S_042_2;
S_037_0: /* 2 */
		now.c_la = ( ((((int)now.c_la)<((int)now.base[ Index(((int)now.c_a), 4) ]))) ? (((int)now.c_la)) : (((int)now.base[ Index(((int)now.c_a), 4) ])) );
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_038_0: /* 2 */
		now.c_a = ((int)now.parent[ Index(((int)now.c_a), 4) ]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
		goto S_043_0; /* ';' */
S_042_2: /* 3 */
S_039_0: /* 2 */
		if (!((((int)now.c_b)>((int)now.c_a))))
			goto S_042_3;
S_040_0: /* 2 */
		now.c_lb = ( ((((int)now.c_lb)<((int)now.base[ Index(((int)now.c_b), 4) ]))) ? (((int)now.c_lb)) : (((int)now.base[ Index(((int)now.c_b), 4) ])) );
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_041_0: /* 2 */
		now.c_b = ((int)now.parent[ Index(((int)now.c_b), 4) ]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
		goto S_043_0; /* ';' */
S_042_3: /* 3 */
		Uerror("blocking sel in d_step (nr.10, near line 87)");
S_044_0: /* 2 */
		goto S_045_0;	/* 'break' */
S_045_0: /* 2 */
		now.c_len = ( ((((int)now.c_la)<((int)now.c_lb))) ? (((int)now.c_la)) : (((int)now.c_lb)) );
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_046_0: /* 2 */
		now.c_a = 0;
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_047_0: /* 2 */
		now.c_b = 0;
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_048_0: /* 2 */
		now.c_la = 0;
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_049_0: /* 2 */
		now.c_lb = 0;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
		goto S_051_0;
S_051_0: /* 2 */
		now.length[0] = ( ((((int)now.c_len)<((int)now.length[2]))) ? (((int)now.c_len)) : (((int)now.length[2])) );
#ifdef VAR_RANGES
		logval("length[0]", ((int)now.length[0]));
#endif
		;
S_052_0: /* 2 */
		now.c_len = 0;
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_053_0: /* 2 */
		now.own[0] = ((int)now.own[2]);
#ifdef VAR_RANGES
		logval("own[0]", ((int)now.own[0]));
#endif
		;
S_054_0: /* 2 */
		now.term[0] = ((int)now.term[2]);
#ifdef VAR_RANGES
		logval("term[0]", ((int)now.term[0]));
#endif
		;
S_055_0: /* 2 */
		now.primary[0] = 0;
#ifdef VAR_RANGES
		logval("primary[0]", ((int)now.primary[0]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 36: // STATE 87 - primary_change.pml:136 - [D_STEP136]
		if (!(boq == -1 && (((((int)now.primary[0])&& !((((int)now.fence[1])>((int)now.term[0]))))&& !((((int)now.fence[0])>((int)now.term[0]))))&&(((int)now.term[1])<((int)now.term[0])))))
			continue;

		reached[0][87] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_058_0: /* 2 */
		if (!((((((int)now.primary[0])&& !((((int)now.fence[1])>((int)now.term[0]))))&& !((((int)now.fence[0])>((int)now.term[0]))))&&(((int)now.term[1])<((int)now.term[0])))))
			Uerror("block in d_step seq");
S_085_0: /* 2 */
S_079_0: /* 2 */
S_059_0: /* 2 */
		now.c_a = ((int)now.own[1]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_060_0: /* 2 */
		now.c_la = ((int)now.length[1]);
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_061_0: /* 2 */
		now.c_b = ((int)now.term[0]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_062_0: /* 2 */
		now.c_lb = 255;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_072_0: /* 2 */
S_071_0: /* 2 */
S_063_0: /* 2 */
		if (!((((int)now.c_a)==((int)now.c_b))))
			goto S_071_1;
S_064_0: /* 2 */
		goto S_074_0;	/* 'goto' */
S_071_1: /* 3 */
S_065_0: /* 2 */
		if (!((((int)now.c_a)>((int)now.c_b))))
			goto S_071_2;
S_066_0: /* 2 */
		now.c_la = ( ((((int)now.c_la)<((int)now.base[ Index(((int)now.c_a), 4) ]))) ? (((int)now.c_la)) : (((int)now.base[ Index(((int)now.c_a), 4) ])) );
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_067_0: /* 2 */
		now.c_a = ((int)now.parent[ Index(((int)now.c_a), 4) ]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
		goto S_072_0; /* ';' */
S_071_2: /* 3 */
S_068_0: /* 2 */
		if (!((((int)now.c_b)>((int)now.c_a))))
			goto S_071_3;
S_069_0: /* 2 */
		now.c_lb = ( ((((int)now.c_lb)<((int)now.base[ Index(((int)now.c_b), 4) ]))) ? (((int)now.c_lb)) : (((int)now.base[ Index(((int)now.c_b), 4) ])) );
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_070_0: /* 2 */
		now.c_b = ((int)now.parent[ Index(((int)now.c_b), 4) ]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
		goto S_072_0; /* ';' */
S_071_3: /* 3 */
		Uerror("blocking sel in d_step (nr.11, near line 87)");
S_073_0: /* 2 */
		goto S_074_0;	/* 'break' */
S_074_0: /* 2 */
		now.c_len = ( ((((int)now.c_la)<((int)now.c_lb))) ? (((int)now.c_la)) : (((int)now.c_lb)) );
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_075_0: /* 2 */
		now.c_a = 0;
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_076_0: /* 2 */
		now.c_b = 0;
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_077_0: /* 2 */
		now.c_la = 0;
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_078_0: /* 2 */
		now.c_lb = 0;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
		goto S_080_0;
S_080_0: /* 2 */
		now.length[1] = ( ((((int)now.c_len)<((int)now.length[0]))) ? (((int)now.c_len)) : (((int)now.length[0])) );
#ifdef VAR_RANGES
		logval("length[1]", ((int)now.length[1]));
#endif
		;
S_081_0: /* 2 */
		now.c_len = 0;
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_082_0: /* 2 */
		now.own[1] = ((int)now.own[0]);
#ifdef VAR_RANGES
		logval("own[1]", ((int)now.own[1]));
#endif
		;
S_083_0: /* 2 */
		now.term[1] = ((int)now.term[0]);
#ifdef VAR_RANGES
		logval("term[1]", ((int)now.term[1]));
#endif
		;
S_084_0: /* 2 */
		now.primary[1] = 0;
#ifdef VAR_RANGES
		logval("primary[1]", ((int)now.primary[1]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 37: // STATE 116 - primary_change.pml:137 - [D_STEP137]
		if (!(boq == -1 && (((((int)now.primary[2])&& !((((int)now.fence[1])>((int)now.term[2]))))&& !((((int)now.fence[2])>((int)now.term[2]))))&&(((int)now.term[1])<((int)now.term[2])))))
			continue;

		reached[0][116] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_087_0: /* 2 */
		if (!((((((int)now.primary[2])&& !((((int)now.fence[1])>((int)now.term[2]))))&& !((((int)now.fence[2])>((int)now.term[2]))))&&(((int)now.term[1])<((int)now.term[2])))))
			Uerror("block in d_step seq");
S_114_0: /* 2 */
S_108_0: /* 2 */
S_088_0: /* 2 */
		now.c_a = ((int)now.own[1]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_089_0: /* 2 */
		now.c_la = ((int)now.length[1]);
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_090_0: /* 2 */
		now.c_b = ((int)now.term[2]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_091_0: /* 2 */
		now.c_lb = 255;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_101_0: /* 2 */
S_100_0: /* 2 */
S_092_0: /* 2 */
		if (!((((int)now.c_a)==((int)now.c_b))))
			goto S_100_1;
S_093_0: /* 2 */
		goto S_103_0;	/* 'goto' */
S_100_1: /* 3 */
S_094_0: /* 2 */
		if (!((((int)now.c_a)>((int)now.c_b))))
			goto S_100_2;
S_095_0: /* 2 */
		now.c_la = ( ((((int)now.c_la)<((int)now.base[ Index(((int)now.c_a), 4) ]))) ? (((int)now.c_la)) : (((int)now.base[ Index(((int)now.c_a), 4) ])) );
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_096_0: /* 2 */
		now.c_a = ((int)now.parent[ Index(((int)now.c_a), 4) ]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
		goto S_101_0; /* ';' */
S_100_2: /* 3 */
S_097_0: /* 2 */
		if (!((((int)now.c_b)>((int)now.c_a))))
			goto S_100_3;
S_098_0: /* 2 */
		now.c_lb = ( ((((int)now.c_lb)<((int)now.base[ Index(((int)now.c_b), 4) ]))) ? (((int)now.c_lb)) : (((int)now.base[ Index(((int)now.c_b), 4) ])) );
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_099_0: /* 2 */
		now.c_b = ((int)now.parent[ Index(((int)now.c_b), 4) ]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
		goto S_101_0; /* ';' */
S_100_3: /* 3 */
		Uerror("blocking sel in d_step (nr.12, near line 87)");
S_102_0: /* 2 */
		goto S_103_0;	/* 'break' */
S_103_0: /* 2 */
		now.c_len = ( ((((int)now.c_la)<((int)now.c_lb))) ? (((int)now.c_la)) : (((int)now.c_lb)) );
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_104_0: /* 2 */
		now.c_a = 0;
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_105_0: /* 2 */
		now.c_b = 0;
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_106_0: /* 2 */
		now.c_la = 0;
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_107_0: /* 2 */
		now.c_lb = 0;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
		goto S_109_0;
S_109_0: /* 2 */
		now.length[1] = ( ((((int)now.c_len)<((int)now.length[2]))) ? (((int)now.c_len)) : (((int)now.length[2])) );
#ifdef VAR_RANGES
		logval("length[1]", ((int)now.length[1]));
#endif
		;
S_110_0: /* 2 */
		now.c_len = 0;
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_111_0: /* 2 */
		now.own[1] = ((int)now.own[2]);
#ifdef VAR_RANGES
		logval("own[1]", ((int)now.own[1]));
#endif
		;
S_112_0: /* 2 */
		now.term[1] = ((int)now.term[2]);
#ifdef VAR_RANGES
		logval("term[1]", ((int)now.term[1]));
#endif
		;
S_113_0: /* 2 */
		now.primary[1] = 0;
#ifdef VAR_RANGES
		logval("primary[1]", ((int)now.primary[1]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 38: // STATE 145 - primary_change.pml:138 - [D_STEP138]
		if (!(boq == -1 && (((((int)now.primary[0])&& !((((int)now.fence[2])>((int)now.term[0]))))&& !((((int)now.fence[0])>((int)now.term[0]))))&&(((int)now.term[2])<((int)now.term[0])))))
			continue;

		reached[0][145] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_116_0: /* 2 */
		if (!((((((int)now.primary[0])&& !((((int)now.fence[2])>((int)now.term[0]))))&& !((((int)now.fence[0])>((int)now.term[0]))))&&(((int)now.term[2])<((int)now.term[0])))))
			Uerror("block in d_step seq");
S_143_0: /* 2 */
S_137_0: /* 2 */
S_117_0: /* 2 */
		now.c_a = ((int)now.own[2]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_118_0: /* 2 */
		now.c_la = ((int)now.length[2]);
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_119_0: /* 2 */
		now.c_b = ((int)now.term[0]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_120_0: /* 2 */
		now.c_lb = 255;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_130_0: /* 2 */
S_129_0: /* 2 */
S_121_0: /* 2 */
		if (!((((int)now.c_a)==((int)now.c_b))))
			goto S_129_1;
S_122_0: /* 2 */
		goto S_132_0;	/* 'goto' */
S_129_1: /* 3 */
S_123_0: /* 2 */
		if (!((((int)now.c_a)>((int)now.c_b))))
			goto S_129_2;
S_124_0: /* 2 */
		now.c_la = ( ((((int)now.c_la)<((int)now.base[ Index(((int)now.c_a), 4) ]))) ? (((int)now.c_la)) : (((int)now.base[ Index(((int)now.c_a), 4) ])) );
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_125_0: /* 2 */
		now.c_a = ((int)now.parent[ Index(((int)now.c_a), 4) ]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
		goto S_130_0; /* ';' */
S_129_2: /* 3 */
S_126_0: /* 2 */
		if (!((((int)now.c_b)>((int)now.c_a))))
			goto S_129_3;
S_127_0: /* 2 */
		now.c_lb = ( ((((int)now.c_lb)<((int)now.base[ Index(((int)now.c_b), 4) ]))) ? (((int)now.c_lb)) : (((int)now.base[ Index(((int)now.c_b), 4) ])) );
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_128_0: /* 2 */
		now.c_b = ((int)now.parent[ Index(((int)now.c_b), 4) ]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
		goto S_130_0; /* ';' */
S_129_3: /* 3 */
		Uerror("blocking sel in d_step (nr.13, near line 87)");
S_131_0: /* 2 */
		goto S_132_0;	/* 'break' */
S_132_0: /* 2 */
		now.c_len = ( ((((int)now.c_la)<((int)now.c_lb))) ? (((int)now.c_la)) : (((int)now.c_lb)) );
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_133_0: /* 2 */
		now.c_a = 0;
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_134_0: /* 2 */
		now.c_b = 0;
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_135_0: /* 2 */
		now.c_la = 0;
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_136_0: /* 2 */
		now.c_lb = 0;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
		goto S_138_0;
S_138_0: /* 2 */
		now.length[2] = ( ((((int)now.c_len)<((int)now.length[0]))) ? (((int)now.c_len)) : (((int)now.length[0])) );
#ifdef VAR_RANGES
		logval("length[2]", ((int)now.length[2]));
#endif
		;
S_139_0: /* 2 */
		now.c_len = 0;
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_140_0: /* 2 */
		now.own[2] = ((int)now.own[0]);
#ifdef VAR_RANGES
		logval("own[2]", ((int)now.own[2]));
#endif
		;
S_141_0: /* 2 */
		now.term[2] = ((int)now.term[0]);
#ifdef VAR_RANGES
		logval("term[2]", ((int)now.term[2]));
#endif
		;
S_142_0: /* 2 */
		now.primary[2] = 0;
#ifdef VAR_RANGES
		logval("primary[2]", ((int)now.primary[2]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 39: // STATE 174 - primary_change.pml:139 - [D_STEP139]
		if (!(boq == -1 && (((((int)now.primary[1])&& !((((int)now.fence[2])>((int)now.term[1]))))&& !((((int)now.fence[1])>((int)now.term[1]))))&&(((int)now.term[2])<((int)now.term[1])))))
			continue;

		reached[0][174] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_145_0: /* 2 */
		if (!((((((int)now.primary[1])&& !((((int)now.fence[2])>((int)now.term[1]))))&& !((((int)now.fence[1])>((int)now.term[1]))))&&(((int)now.term[2])<((int)now.term[1])))))
			Uerror("block in d_step seq");
S_172_0: /* 2 */
S_166_0: /* 2 */
S_146_0: /* 2 */
		now.c_a = ((int)now.own[2]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_147_0: /* 2 */
		now.c_la = ((int)now.length[2]);
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_148_0: /* 2 */
		now.c_b = ((int)now.term[1]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_149_0: /* 2 */
		now.c_lb = 255;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_159_0: /* 2 */
S_158_0: /* 2 */
S_150_0: /* 2 */
		if (!((((int)now.c_a)==((int)now.c_b))))
			goto S_158_1;
S_151_0: /* 2 */
		goto S_161_0;	/* 'goto' */
S_158_1: /* 3 */
S_152_0: /* 2 */
		if (!((((int)now.c_a)>((int)now.c_b))))
			goto S_158_2;
S_153_0: /* 2 */
		now.c_la = ( ((((int)now.c_la)<((int)now.base[ Index(((int)now.c_a), 4) ]))) ? (((int)now.c_la)) : (((int)now.base[ Index(((int)now.c_a), 4) ])) );
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_154_0: /* 2 */
		now.c_a = ((int)now.parent[ Index(((int)now.c_a), 4) ]);
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
		goto S_159_0; /* ';' */
S_158_2: /* 3 */
S_155_0: /* 2 */
		if (!((((int)now.c_b)>((int)now.c_a))))
			goto S_158_3;
S_156_0: /* 2 */
		now.c_lb = ( ((((int)now.c_lb)<((int)now.base[ Index(((int)now.c_b), 4) ]))) ? (((int)now.c_lb)) : (((int)now.base[ Index(((int)now.c_b), 4) ])) );
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
S_157_0: /* 2 */
		now.c_b = ((int)now.parent[ Index(((int)now.c_b), 4) ]);
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
		goto S_159_0; /* ';' */
S_158_3: /* 3 */
		Uerror("blocking sel in d_step (nr.14, near line 87)");
S_160_0: /* 2 */
		goto S_161_0;	/* 'break' */
S_161_0: /* 2 */
		now.c_len = ( ((((int)now.c_la)<((int)now.c_lb))) ? (((int)now.c_la)) : (((int)now.c_lb)) );
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_162_0: /* 2 */
		now.c_a = 0;
#ifdef VAR_RANGES
		logval("c_a", ((int)now.c_a));
#endif
		;
S_163_0: /* 2 */
		now.c_b = 0;
#ifdef VAR_RANGES
		logval("c_b", ((int)now.c_b));
#endif
		;
S_164_0: /* 2 */
		now.c_la = 0;
#ifdef VAR_RANGES
		logval("c_la", ((int)now.c_la));
#endif
		;
S_165_0: /* 2 */
		now.c_lb = 0;
#ifdef VAR_RANGES
		logval("c_lb", ((int)now.c_lb));
#endif
		;
		goto S_167_0;
S_167_0: /* 2 */
		now.length[2] = ( ((((int)now.c_len)<((int)now.length[1]))) ? (((int)now.c_len)) : (((int)now.length[1])) );
#ifdef VAR_RANGES
		logval("length[2]", ((int)now.length[2]));
#endif
		;
S_168_0: /* 2 */
		now.c_len = 0;
#ifdef VAR_RANGES
		logval("c_len", ((int)now.c_len));
#endif
		;
S_169_0: /* 2 */
		now.own[2] = ((int)now.own[1]);
#ifdef VAR_RANGES
		logval("own[2]", ((int)now.own[2]));
#endif
		;
S_170_0: /* 2 */
		now.term[2] = ((int)now.term[1]);
#ifdef VAR_RANGES
		logval("term[2]", ((int)now.term[2]));
#endif
		;
S_171_0: /* 2 */
		now.primary[2] = 0;
#ifdef VAR_RANGES
		logval("primary[2]", ((int)now.primary[2]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 40: // STATE 179 - primary_change.pml:140 - [D_STEP140]
		if (!(boq == -1 && (((((((int)now.primary[1])&& !((((int)now.fence[0])>((int)now.term[1]))))&& !((((int)now.fence[1])>((int)now.term[1]))))&& !(((int)now.primary[0])))&&(((int)now.term[0])==((int)now.term[1])))&&(((int)now.length[0])<((int)now.length[1])))))
			continue;

		reached[0][179] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_174_0: /* 2 */
		if (!((((((((int)now.primary[1])&& !((((int)now.fence[0])>((int)now.term[1]))))&& !((((int)now.fence[1])>((int)now.term[1]))))&& !(((int)now.primary[0])))&&(((int)now.term[0])==((int)now.term[1])))&&(((int)now.length[0])<((int)now.length[1])))))
			Uerror("block in d_step seq");
S_177_0: /* 2 */
S_175_0: /* 2 */
		now.length[0] = (((int)now.length[0])+1);
#ifdef VAR_RANGES
		logval("length[0]", ((int)now.length[0]));
#endif
		;
S_176_0: /* 2 */
		now.own[0] = ((int)now.own[1]);
#ifdef VAR_RANGES
		logval("own[0]", ((int)now.own[0]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 41: // STATE 184 - primary_change.pml:141 - [D_STEP141]
		if (!(boq == -1 && (((((((int)now.primary[2])&& !((((int)now.fence[0])>((int)now.term[2]))))&& !((((int)now.fence[2])>((int)now.term[2]))))&& !(((int)now.primary[0])))&&(((int)now.term[0])==((int)now.term[2])))&&(((int)now.length[0])<((int)now.length[2])))))
			continue;

		reached[0][184] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_179_0: /* 2 */
		if (!((((((((int)now.primary[2])&& !((((int)now.fence[0])>((int)now.term[2]))))&& !((((int)now.fence[2])>((int)now.term[2]))))&& !(((int)now.primary[0])))&&(((int)now.term[0])==((int)now.term[2])))&&(((int)now.length[0])<((int)now.length[2])))))
			Uerror("block in d_step seq");
S_182_0: /* 2 */
S_180_0: /* 2 */
		now.length[0] = (((int)now.length[0])+1);
#ifdef VAR_RANGES
		logval("length[0]", ((int)now.length[0]));
#endif
		;
S_181_0: /* 2 */
		now.own[0] = ((int)now.own[2]);
#ifdef VAR_RANGES
		logval("own[0]", ((int)now.own[0]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 42: // STATE 189 - primary_change.pml:142 - [D_STEP142]
		if (!(boq == -1 && (((((((int)now.primary[0])&& !((((int)now.fence[1])>((int)now.term[0]))))&& !((((int)now.fence[0])>((int)now.term[0]))))&& !(((int)now.primary[1])))&&(((int)now.term[1])==((int)now.term[0])))&&(((int)now.length[1])<((int)now.length[0])))))
			continue;

		reached[0][189] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_184_0: /* 2 */
		if (!((((((((int)now.primary[0])&& !((((int)now.fence[1])>((int)now.term[0]))))&& !((((int)now.fence[0])>((int)now.term[0]))))&& !(((int)now.primary[1])))&&(((int)now.term[1])==((int)now.term[0])))&&(((int)now.length[1])<((int)now.length[0])))))
			Uerror("block in d_step seq");
S_187_0: /* 2 */
S_185_0: /* 2 */
		now.length[1] = (((int)now.length[1])+1);
#ifdef VAR_RANGES
		logval("length[1]", ((int)now.length[1]));
#endif
		;
S_186_0: /* 2 */
		now.own[1] = ((int)now.own[0]);
#ifdef VAR_RANGES
		logval("own[1]", ((int)now.own[1]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 43: // STATE 194 - primary_change.pml:143 - [D_STEP143]
		if (!(boq == -1 && (((((((int)now.primary[2])&& !((((int)now.fence[1])>((int)now.term[2]))))&& !((((int)now.fence[2])>((int)now.term[2]))))&& !(((int)now.primary[1])))&&(((int)now.term[1])==((int)now.term[2])))&&(((int)now.length[1])<((int)now.length[2])))))
			continue;

		reached[0][194] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_189_0: /* 2 */
		if (!((((((((int)now.primary[2])&& !((((int)now.fence[1])>((int)now.term[2]))))&& !((((int)now.fence[2])>((int)now.term[2]))))&& !(((int)now.primary[1])))&&(((int)now.term[1])==((int)now.term[2])))&&(((int)now.length[1])<((int)now.length[2])))))
			Uerror("block in d_step seq");
S_192_0: /* 2 */
S_190_0: /* 2 */
		now.length[1] = (((int)now.length[1])+1);
#ifdef VAR_RANGES
		logval("length[1]", ((int)now.length[1]));
#endif
		;
S_191_0: /* 2 */
		now.own[1] = ((int)now.own[2]);
#ifdef VAR_RANGES
		logval("own[1]", ((int)now.own[1]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 44: // STATE 199 - primary_change.pml:144 - [D_STEP144]
		if (!(boq == -1 && (((((((int)now.primary[0])&& !((((int)now.fence[2])>((int)now.term[0]))))&& !((((int)now.fence[0])>((int)now.term[0]))))&& !(((int)now.primary[2])))&&(((int)now.term[2])==((int)now.term[0])))&&(((int)now.length[2])<((int)now.length[0])))))
			continue;

		reached[0][199] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_194_0: /* 2 */
		if (!((((((((int)now.primary[0])&& !((((int)now.fence[2])>((int)now.term[0]))))&& !((((int)now.fence[0])>((int)now.term[0]))))&& !(((int)now.primary[2])))&&(((int)now.term[2])==((int)now.term[0])))&&(((int)now.length[2])<((int)now.length[0])))))
			Uerror("block in d_step seq");
S_197_0: /* 2 */
S_195_0: /* 2 */
		now.length[2] = (((int)now.length[2])+1);
#ifdef VAR_RANGES
		logval("length[2]", ((int)now.length[2]));
#endif
		;
S_196_0: /* 2 */
		now.own[2] = ((int)now.own[0]);
#ifdef VAR_RANGES
		logval("own[2]", ((int)now.own[2]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 45: // STATE 204 - primary_change.pml:145 - [D_STEP145]
		if (!(boq == -1 && (((((((int)now.primary[1])&& !((((int)now.fence[2])>((int)now.term[1]))))&& !((((int)now.fence[1])>((int)now.term[1]))))&& !(((int)now.primary[2])))&&(((int)now.term[2])==((int)now.term[1])))&&(((int)now.length[2])<((int)now.length[1])))))
			continue;

		reached[0][204] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_199_0: /* 2 */
		if (!((((((((int)now.primary[1])&& !((((int)now.fence[2])>((int)now.term[1]))))&& !((((int)now.fence[1])>((int)now.term[1]))))&& !(((int)now.primary[2])))&&(((int)now.term[2])==((int)now.term[1])))&&(((int)now.length[2])<((int)now.length[1])))))
			Uerror("block in d_step seq");
S_202_0: /* 2 */
S_200_0: /* 2 */
		now.length[2] = (((int)now.length[2])+1);
#ifdef VAR_RANGES
		logval("length[2]", ((int)now.length[2]));
#endif
		;
S_201_0: /* 2 */
		now.own[2] = ((int)now.own[1]);
#ifdef VAR_RANGES
		logval("own[2]", ((int)now.own[2]));
#endif
		;
		goto S_244_0; /* ';' */
		goto S_244_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 46: // STATE 205 - primary_change.pml:146 - [(((primary[0]&&!((fence[0]>term[0])))&&(length[0]<2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][205] = 1;
		if (!(((((int)now.primary[0])&& !((((int)now.fence[0])>((int)now.term[0]))))&&(((int)now.length[0])<2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 47: // STATE 206 - primary_change.pml:101 - [length[0] = (length[0]+1)] (0:214:2 - 1)
		IfNotBlocked
		reached[0][206] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.length[0]);
		now.length[0] = (((int)now.length[0])+1);
#ifdef VAR_RANGES
		logval("length[0]", ((int)now.length[0]));
#endif
		;
		/* merge: own[0] = term[0](214, 207, 214) */
		reached[0][207] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.own[0]);
		now.own[0] = ((int)now.term[0]);
#ifdef VAR_RANGES
		logval("own[0]", ((int)now.own[0]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 48: // STATE 208 - primary_change.pml:104 - [(!(written))] (244:0:3 - 1)
		IfNotBlocked
		reached[0][208] = 1;
		if (!( !(((int)now.written))))
			continue;
		/* merge: written = 1(244, 209, 244) */
		reached[0][209] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.written);
		now.written = 1;
#ifdef VAR_RANGES
		logval("written", ((int)now.written));
#endif
		;
		/* merge: wterm = term[0](244, 210, 244) */
		reached[0][210] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.wterm);
		now.wterm = ((int)now.term[0]);
#ifdef VAR_RANGES
		logval("wterm", ((int)now.wterm));
#endif
		;
		/* merge: wpos = length[0](244, 211, 244) */
		reached[0][211] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.wpos);
		now.wpos = ((int)now.length[0]);
#ifdef VAR_RANGES
		logval("wpos", ((int)now.wpos));
#endif
		;
		/* merge: .(goto)(244, 215, 244) */
		reached[0][215] = 1;
		;
		/* merge: .(goto)(0, 245, 244) */
		reached[0][245] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 49: // STATE 215 - primary_change.pml:107 - [.(goto)] (0:244:0 - 2)
		IfNotBlocked
		reached[0][215] = 1;
		;
		/* merge: .(goto)(0, 245, 244) */
		reached[0][245] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 50: // STATE 213 - primary_change.pml:105 - [(1)] (244:0:0 - 1)
		IfNotBlocked
		reached[0][213] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(244, 215, 244) */
		reached[0][215] = 1;
		;
		/* merge: .(goto)(0, 245, 244) */
		reached[0][245] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 51: // STATE 218 - primary_change.pml:147 - [(((primary[1]&&!((fence[1]>term[1])))&&(length[1]<2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][218] = 1;
		if (!(((((int)now.primary[1])&& !((((int)now.fence[1])>((int)now.term[1]))))&&(((int)now.length[1])<2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 52: // STATE 219 - primary_change.pml:101 - [length[1] = (length[1]+1)] (0:227:2 - 1)
		IfNotBlocked
		reached[0][219] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.length[1]);
		now.length[1] = (((int)now.length[1])+1);
#ifdef VAR_RANGES
		logval("length[1]", ((int)now.length[1]));
#endif
		;
		/* merge: own[1] = term[1](227, 220, 227) */
		reached[0][220] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.own[1]);
		now.own[1] = ((int)now.term[1]);
#ifdef VAR_RANGES
		logval("own[1]", ((int)now.own[1]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 53: // STATE 221 - primary_change.pml:104 - [(!(written))] (244:0:3 - 1)
		IfNotBlocked
		reached[0][221] = 1;
		if (!( !(((int)now.written))))
			continue;
		/* merge: written = 1(244, 222, 244) */
		reached[0][222] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.written);
		now.written = 1;
#ifdef VAR_RANGES
		logval("written", ((int)now.written));
#endif
		;
		/* merge: wterm = term[1](244, 223, 244) */
		reached[0][223] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.wterm);
		now.wterm = ((int)now.term[1]);
#ifdef VAR_RANGES
		logval("wterm", ((int)now.wterm));
#endif
		;
		/* merge: wpos = length[1](244, 224, 244) */
		reached[0][224] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.wpos);
		now.wpos = ((int)now.length[1]);
#ifdef VAR_RANGES
		logval("wpos", ((int)now.wpos));
#endif
		;
		/* merge: .(goto)(244, 228, 244) */
		reached[0][228] = 1;
		;
		/* merge: .(goto)(0, 245, 244) */
		reached[0][245] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 54: // STATE 228 - primary_change.pml:107 - [.(goto)] (0:244:0 - 2)
		IfNotBlocked
		reached[0][228] = 1;
		;
		/* merge: .(goto)(0, 245, 244) */
		reached[0][245] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 55: // STATE 226 - primary_change.pml:105 - [(1)] (244:0:0 - 1)
		IfNotBlocked
		reached[0][226] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(244, 228, 244) */
		reached[0][228] = 1;
		;
		/* merge: .(goto)(0, 245, 244) */
		reached[0][245] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 56: // STATE 231 - primary_change.pml:148 - [(((primary[2]&&!((fence[2]>term[2])))&&(length[2]<2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][231] = 1;
		if (!(((((int)now.primary[2])&& !((((int)now.fence[2])>((int)now.term[2]))))&&(((int)now.length[2])<2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 57: // STATE 232 - primary_change.pml:101 - [length[2] = (length[2]+1)] (0:240:2 - 1)
		IfNotBlocked
		reached[0][232] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.length[2]);
		now.length[2] = (((int)now.length[2])+1);
#ifdef VAR_RANGES
		logval("length[2]", ((int)now.length[2]));
#endif
		;
		/* merge: own[2] = term[2](240, 233, 240) */
		reached[0][233] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.own[2]);
		now.own[2] = ((int)now.term[2]);
#ifdef VAR_RANGES
		logval("own[2]", ((int)now.own[2]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 58: // STATE 234 - primary_change.pml:104 - [(!(written))] (244:0:3 - 1)
		IfNotBlocked
		reached[0][234] = 1;
		if (!( !(((int)now.written))))
			continue;
		/* merge: written = 1(244, 235, 244) */
		reached[0][235] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.written);
		now.written = 1;
#ifdef VAR_RANGES
		logval("written", ((int)now.written));
#endif
		;
		/* merge: wterm = term[2](244, 236, 244) */
		reached[0][236] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.wterm);
		now.wterm = ((int)now.term[2]);
#ifdef VAR_RANGES
		logval("wterm", ((int)now.wterm));
#endif
		;
		/* merge: wpos = length[2](244, 237, 244) */
		reached[0][237] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.wpos);
		now.wpos = ((int)now.length[2]);
#ifdef VAR_RANGES
		logval("wpos", ((int)now.wpos));
#endif
		;
		/* merge: .(goto)(244, 241, 244) */
		reached[0][241] = 1;
		;
		/* merge: .(goto)(0, 245, 244) */
		reached[0][245] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 59: // STATE 241 - primary_change.pml:107 - [.(goto)] (0:244:0 - 2)
		IfNotBlocked
		reached[0][241] = 1;
		;
		/* merge: .(goto)(0, 245, 244) */
		reached[0][245] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 60: // STATE 239 - primary_change.pml:105 - [(1)] (244:0:0 - 1)
		IfNotBlocked
		reached[0][239] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(244, 241, 244) */
		reached[0][241] = 1;
		;
		/* merge: .(goto)(0, 245, 244) */
		reached[0][245] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 61: // STATE 247 - primary_change.pml:150 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[0][247] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

