#ifdef PEG
struct T_SRC {
	char *fl; int ln;
} T_SRC[NTRANS];

void
tr_2_src(int m, char *file, int ln)
{	T_SRC[m].fl = file;
	T_SRC[m].ln = ln;
}

void
putpeg(int n, int m)
{	printf("%5d	trans %4d ", m, n);
	printf("%s:%d\n",
		T_SRC[n].fl, T_SRC[n].ln);
}
#endif

void
settable(void)
{	Trans *T;
	Trans *settr(int, int, int, int, int, char *, int, int, int);

	trans = (Trans ***) emalloc(5*sizeof(Trans **));

	/* proctype 3: :init: */

	trans[3] = (Trans **) emalloc(9*sizeof(Trans *));

	T = trans[ 3][7] = settr(424,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(424,2,1,0,0,"ATOMIC", 1, 2, 0);
	trans[3][1]	= settr(418,2,3,3,3,"primary[0] = 1", 1, 2, 0); /* m: 2 -> 0,3 */
	reached3[2] = 1;
	trans[3][2]	= settr(0,0,0,0,0,"holder[1] = 0",0,0,0);
	trans[3][3]	= settr(420,2,4,4,4,"(run Databases())", 1, 2, 0);
	trans[3][4]	= settr(421,2,5,5,5,"(run Node())", 1, 2, 0);
	trans[3][5]	= settr(422,2,6,6,6,"(run Attempt(2))", 1, 2, 0);
	trans[3][6]	= settr(423,0,8,7,7,"(run Attempt(3))", 1, 2, 0);
	trans[3][8]	= settr(425,0,0,8,8,"-end-", 0, 3500, 0);

	/* proctype 2: Attempt */

	trans[2] = (Trans **) emalloc(133*sizeof(Trans *));

	T = trans[ 2][3] = settr(288,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(288,2,1,0,0,"ATOMIC", 1, 2, 0);
	trans[2][1]	= settr(286,0,30,9,9,"((reserved==(t-1)))", 1, 2, 0); /* m: 2 -> 30,0 */
	reached2[2] = 1;
	trans[2][2]	= settr(0,0,0,0,0,"reserved = t",0,0,0);
	trans[2][31]	= settr(316,0,30,1,0,".(goto)", 0, 2, 0);
	T = trans[2][30] = settr(315,0,0,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(315,0,11,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(315,0,19,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(315,0,27,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(315,0,28,0,0,"DO", 0, 2, 0);
/*->*/	trans[2][11]	= settr(296,32,30,10,10,"D_STEP215", 1, 2, 0);
/*->*/	trans[2][19]	= settr(304,32,30,11,11,"D_STEP216", 1, 2, 0);
/*->*/	trans[2][27]	= settr(312,32,30,12,12,"D_STEP217", 1, 2, 0);
	trans[2][28]	= settr(313,0,33,13,13,"((answers>=2))", 0, 2, 0);
	trans[2][29]	= settr(314,0,33,1,0,"goto :b8", 0, 2, 0);
	trans[2][32]	= settr(317,0,33,1,0,"break", 0, 2, 0);
	trans[2][33]	= settr(318,0,70,1,0,"(1)", 0, 2, 0);
/*->*/	trans[2][70]	= settr(355,32,71,14,14,"D_STEP221", 1, 2, 0);
	trans[2][71]	= settr(356,0,101,15,0,"((best!=255))", 0, 2, 0);
/*->*/	trans[2][101]	= settr(386,32,105,16,16,"D_STEP251", 1, 2, 0);
	T = trans[2][105] = settr(390,0,0,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(390,0,102,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(390,0,103,0,0,"IF", 0, 2, 0);
	    T->nxt	= settr(390,0,104,0,0,"IF", 0, 2, 0);
	trans[2][102]	= settr(387,0,131,17,17,"(((best!=0)&&((term[0]==t)&&(length[0]>=base[t]))))", 1, 2, 0);
	trans[2][106]	= settr(391,0,131,1,0,".(goto)", 0, 2, 0);
	trans[2][103]	= settr(388,0,131,18,18,"(((best!=1)&&((term[1]==t)&&(length[1]>=base[t]))))", 1, 2, 0);
	trans[2][104]	= settr(389,0,131,19,19,"(((best!=2)&&((term[2]==t)&&(length[2]>=base[t]))))", 1, 2, 0);
/*->*/	trans[2][131]	= settr(416,32,132,20,20,"D_STEP271", 1, 2, 0);
	trans[2][132]	= settr(417,0,0,21,21,"-end-", 0, 3500, 0);

	/* proctype 1: Node */

	trans[1] = (Trans **) emalloc(40*sizeof(Trans *));

	T = trans[ 1][3] = settr(249,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(249,2,1,0,0,"ATOMIC", 1, 2, 0);
	trans[1][1]	= settr(247,4,13,22,22,"((written&&(published==wterm)))", 1, 2, 0); /* m: 2 -> 13,0 */
	reached1[2] = 1;
	trans[1][2]	= settr(0,0,0,0,0,"holders = 1",0,0,0);
	T = trans[1][13] = settr(259,0,0,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(259,0,6,0,0,"IF", 0, 2, 0);
	T = T->nxt	= settr(259,0,9,0,0,"IF", 0, 2, 0);
	    T->nxt	= settr(259,0,12,0,0,"IF", 0, 2, 0);
	T = trans[ 1][6] = settr(252,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(252,2,4,0,0,"ATOMIC", 1, 2, 0);
	trans[1][4]	= settr(250,0,38,23,23,"(((holder[wterm]!=0)&&((term[0]==wterm)&&(length[0]>=wpos))))", 1, 2, 0); /* m: 5 -> 38,0 */
	reached1[5] = 1;
	trans[1][5]	= settr(0,0,0,0,0,"holders = (holders+1)",0,0,0);
	trans[1][14]	= settr(260,0,38,1,0,".(goto)", 0, 2, 0);
	T = trans[ 1][9] = settr(255,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(255,2,7,0,0,"ATOMIC", 1, 2, 0);
	trans[1][7]	= settr(253,0,38,24,24,"(((holder[wterm]!=1)&&((term[1]==wterm)&&(length[1]>=wpos))))", 1, 2, 0); /* m: 8 -> 38,0 */
	reached1[8] = 1;
	trans[1][8]	= settr(0,0,0,0,0,"holders = (holders+1)",0,0,0);
	T = trans[ 1][12] = settr(258,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(258,2,10,0,0,"ATOMIC", 1, 2, 0);
	trans[1][10]	= settr(256,0,38,25,25,"(((holder[wterm]!=2)&&((term[2]==wterm)&&(length[2]>=wpos))))", 1, 2, 0); /* m: 11 -> 38,0 */
	reached1[11] = 1;
	trans[1][11]	= settr(0,0,0,0,0,"holders = (holders+1)",0,0,0);
	T = trans[ 1][38] = settr(284,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(284,2,15,0,0,"ATOMIC", 1, 2, 0);
	trans[1][15]	= settr(261,2,37,26,26,"holders = 0", 1, 2, 0); /* m: 16 -> 0,37 */
	reached1[16] = 1;
	trans[1][16]	= settr(0,0,0,0,0,"acked = 1",0,0,0);
	T = trans[ 1][37] = settr(283,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(283,0,35,0,0,"sub-sequence", 1, 2, 0);
	T = trans[1][35] = settr(281,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(281,2,17,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(281,2,34,0,0,"IF", 1, 2, 0);
	trans[1][17]	= settr(263,2,31,27,0,"((acked&&(published>wterm)))", 1, 2, 0);
	T = trans[ 1][31] = settr(277,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(277,0,18,0,0,"sub-sequence", 1, 2, 0);
	trans[1][18]	= settr(264,2,25,28,28,"h_term = published", 1, 2, 0); /* m: 19 -> 0,25 */
	reached1[19] = 1;
	trans[1][19]	= settr(0,0,0,0,0,"h_len = 255",0,0,0);
	trans[1][26]	= settr(272,2,25,1,0,".(goto)", 1, 2, 0);
	T = trans[1][25] = settr(271,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(271,2,20,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(271,2,22,0,0,"DO", 1, 2, 0);
	trans[1][20]	= settr(266,4,39,29,29,"(((h_term==wterm)||(h_term==0)))", 1, 2, 0); /* m: 28 -> 39,0 */
	reached1[28] = 1;
	trans[1][21]	= settr(267,2,28,1,0,"goto :b7", 1, 2, 0); /* m: 28 -> 0,39 */
	reached1[28] = 1;
	trans[1][22]	= settr(268,2,23,2,0,"else", 1, 2, 0);
	trans[1][23]	= settr(269,2,25,30,30,"h_len = ( ((h_len<base[h_term])) -> (h_len) : (base[h_term]) )", 1, 2, 0); /* m: 24 -> 0,25 */
	reached1[24] = 1;
	trans[1][24]	= settr(0,0,0,0,0,"h_term = parent[h_term]",0,0,0);
	trans[1][27]	= settr(273,2,28,1,0,"break", 1, 2, 0);
	trans[1][28]	= settr(274,4,39,31,31,"h_has = ((h_term==wterm)&&(h_len>=wpos))", 1, 2, 0); /* m: 29 -> 0,39 */
	reached1[29] = 1;
	trans[1][29]	= settr(0,0,0,0,0,"h_term = 0",0,0,0);
	trans[1][30]	= settr(0,0,0,0,0,"h_len = 0",0,0,0);
	trans[1][32]	= settr(0,0,0,0,0,"assert(h_has)",0,0,0);
	trans[1][33]	= settr(0,0,0,0,0,"h_has = 0",0,0,0);
	trans[1][36]	= settr(282,0,39,32,32,".(goto)", 1, 2, 0);
	trans[1][34]	= settr(280,2,36,2,0,"else", 1, 2, 0);
	trans[1][39]	= settr(285,0,0,33,33,"-end-", 0, 3500, 0);

	/* proctype 0: Databases */

	trans[0] = (Trans **) emalloc(248*sizeof(Trans *));

	trans[0][245]	= settr(244,0,244,1,0,".(goto)", 0, 2, 0);
	T = trans[0][244] = settr(243,0,0,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,29,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,58,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,87,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,116,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,145,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,174,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,179,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,184,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,189,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,194,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,199,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,204,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,217,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(243,0,230,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(243,0,243,0,0,"DO", 0, 2, 0);
/*->*/	trans[0][29]	= settr(28,32,244,34,34,"D_STEP134", 1, 2, 0);
/*->*/	trans[0][58]	= settr(57,32,244,35,35,"D_STEP135", 1, 2, 0);
/*->*/	trans[0][87]	= settr(86,32,244,36,36,"D_STEP136", 1, 2, 0);
/*->*/	trans[0][116]	= settr(115,32,244,37,37,"D_STEP137", 1, 2, 0);
/*->*/	trans[0][145]	= settr(144,32,244,38,38,"D_STEP138", 1, 2, 0);
/*->*/	trans[0][174]	= settr(173,32,244,39,39,"D_STEP139", 1, 2, 0);
/*->*/	trans[0][179]	= settr(178,32,244,40,40,"D_STEP140", 1, 2, 0);
/*->*/	trans[0][184]	= settr(183,32,244,41,41,"D_STEP141", 1, 2, 0);
/*->*/	trans[0][189]	= settr(188,32,244,42,42,"D_STEP142", 1, 2, 0);
/*->*/	trans[0][194]	= settr(193,32,244,43,43,"D_STEP143", 1, 2, 0);
/*->*/	trans[0][199]	= settr(198,32,244,44,44,"D_STEP144", 1, 2, 0);
/*->*/	trans[0][204]	= settr(203,32,244,45,45,"D_STEP145", 1, 2, 0);
	T = trans[ 0][217] = settr(216,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(216,2,205,0,0,"ATOMIC", 1, 2, 0);
	trans[0][205]	= settr(204,2,216,46,0,"(((primary[0]&&!((fence[0]>term[0])))&&(length[0]<2)))", 1, 2, 0);
	T = trans[ 0][216] = settr(215,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(215,0,206,0,0,"sub-sequence", 1, 2, 0);
	trans[0][206]	= settr(205,2,214,47,47,"length[0] = (length[0]+1)", 1, 2, 0); /* m: 207 -> 0,214 */
	reached0[207] = 1;
	trans[0][207]	= settr(0,0,0,0,0,"own[0] = term[0]",0,0,0);
	T = trans[0][214] = settr(213,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(213,2,208,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(213,2,212,0,0,"IF", 1, 2, 0);
	trans[0][208]	= settr(207,0,244,48,48,"(!(written))", 1, 2, 0); /* m: 209 -> 244,0 */
	reached0[209] = 1;
	trans[0][209]	= settr(0,0,0,0,0,"written = 1",0,0,0);
	trans[0][210]	= settr(0,0,0,0,0,"wterm = term[0]",0,0,0);
	trans[0][211]	= settr(0,0,0,0,0,"wpos = length[0]",0,0,0);
	trans[0][215]	= settr(214,0,244,49,49,".(goto)", 1, 2, 0);
	trans[0][212]	= settr(211,2,213,1,0,"(1)", 1, 2, 0);
	trans[0][213]	= settr(212,0,244,50,50,"(1)", 1, 2, 0); /* m: 215 -> 244,0 */
	reached0[215] = 1;
	T = trans[ 0][230] = settr(229,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(229,2,218,0,0,"ATOMIC", 1, 2, 0);
	trans[0][218]	= settr(217,2,229,51,0,"(((primary[1]&&!((fence[1]>term[1])))&&(length[1]<2)))", 1, 2, 0);
	T = trans[ 0][229] = settr(228,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(228,0,219,0,0,"sub-sequence", 1, 2, 0);
	trans[0][219]	= settr(218,2,227,52,52,"length[1] = (length[1]+1)", 1, 2, 0); /* m: 220 -> 0,227 */
	reached0[220] = 1;
	trans[0][220]	= settr(0,0,0,0,0,"own[1] = term[1]",0,0,0);
	T = trans[0][227] = settr(226,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(226,2,221,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(226,2,225,0,0,"IF", 1, 2, 0);
	trans[0][221]	= settr(220,0,244,53,53,"(!(written))", 1, 2, 0); /* m: 222 -> 244,0 */
	reached0[222] = 1;
	trans[0][222]	= settr(0,0,0,0,0,"written = 1",0,0,0);
	trans[0][223]	= settr(0,0,0,0,0,"wterm = term[1]",0,0,0);
	trans[0][224]	= settr(0,0,0,0,0,"wpos = length[1]",0,0,0);
	trans[0][228]	= settr(227,0,244,54,54,".(goto)", 1, 2, 0);
	trans[0][225]	= settr(224,2,226,1,0,"(1)", 1, 2, 0);
	trans[0][226]	= settr(225,0,244,55,55,"(1)", 1, 2, 0); /* m: 228 -> 244,0 */
	reached0[228] = 1;
	T = trans[ 0][243] = settr(242,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(242,2,231,0,0,"ATOMIC", 1, 2, 0);
	trans[0][231]	= settr(230,2,242,56,0,"(((primary[2]&&!((fence[2]>term[2])))&&(length[2]<2)))", 1, 2, 0);
	T = trans[ 0][242] = settr(241,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(241,0,232,0,0,"sub-sequence", 1, 2, 0);
	trans[0][232]	= settr(231,2,240,57,57,"length[2] = (length[2]+1)", 1, 2, 0); /* m: 233 -> 0,240 */
	reached0[233] = 1;
	trans[0][233]	= settr(0,0,0,0,0,"own[2] = term[2]",0,0,0);
	T = trans[0][240] = settr(239,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(239,2,234,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(239,2,238,0,0,"IF", 1, 2, 0);
	trans[0][234]	= settr(233,0,244,58,58,"(!(written))", 1, 2, 0); /* m: 235 -> 244,0 */
	reached0[235] = 1;
	trans[0][235]	= settr(0,0,0,0,0,"written = 1",0,0,0);
	trans[0][236]	= settr(0,0,0,0,0,"wterm = term[2]",0,0,0);
	trans[0][237]	= settr(0,0,0,0,0,"wpos = length[2]",0,0,0);
	trans[0][241]	= settr(240,0,244,59,59,".(goto)", 1, 2, 0);
	trans[0][238]	= settr(237,2,239,1,0,"(1)", 1, 2, 0);
	trans[0][239]	= settr(238,0,244,60,60,"(1)", 1, 2, 0); /* m: 241 -> 244,0 */
	reached0[241] = 1;
	trans[0][246]	= settr(245,0,247,1,0,"break", 0, 2, 0);
	trans[0][247]	= settr(246,0,0,61,61,"-end-", 0, 3500, 0);
	/* np_ demon: */
	trans[_NP_] = (Trans **) emalloc(3*sizeof(Trans *));
	T = trans[_NP_][0] = settr(9997,0,1,_T5,0,"(np_)", 1,2,0);
	    T->nxt	  = settr(9998,0,0,_T2,0,"(1)",   0,2,0);
	T = trans[_NP_][1] = settr(9999,0,1,_T5,0,"(np_)", 1,2,0);
}

Trans *
settr(	int t_id, int a, int b, int c, int d,
	char *t, int g, int tpe0, int tpe1)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	tmp->atom  = a&(6|32);	/* only (2|8|32) have meaning */
	if (!g) tmp->atom |= 8;	/* no global references */
	tmp->st    = b;
	tmp->tpe[0] = tpe0;
	tmp->tpe[1] = tpe1;
	tmp->tp    = t;
	tmp->t_id  = t_id;
	tmp->forw  = c;
	tmp->back  = d;
	return tmp;
}

Trans *
cpytr(Trans *a)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	int i;
	tmp->atom  = a->atom;
	tmp->st    = a->st;
#ifdef HAS_UNLESS
	tmp->e_trans = a->e_trans;
	for (i = 0; i < HAS_UNLESS; i++)
		tmp->escp[i] = a->escp[i];
#endif
	tmp->tpe[0] = a->tpe[0];
	tmp->tpe[1] = a->tpe[1];
	for (i = 0; i < 6; i++)
	{	tmp->qu[i] = a->qu[i];
		tmp->ty[i] = a->ty[i];
	}
	tmp->tp    = (char *) emalloc(strlen(a->tp)+1);
	strcpy(tmp->tp, a->tp);
	tmp->t_id  = a->t_id;
	tmp->forw  = a->forw;
	tmp->back  = a->back;
	return tmp;
}

#ifndef NOREDUCE
int
srinc_set(int n)
{	if (n <= 2) return LOCAL;
	if (n <= 2+  DELTA) return Q_FULL_F; /* 's' or nfull  */
	if (n <= 2+2*DELTA) return Q_EMPT_F; /* 'r' or nempty */
	if (n <= 2+3*DELTA) return Q_EMPT_T; /* empty */
	if (n <= 2+4*DELTA) return Q_FULL_T; /* full  */
	if (n ==   5*DELTA) return GLOBAL;
	if (n ==   6*DELTA) return TIMEOUT_F;
	if (n ==   7*DELTA) return ALPHA_F;
	Uerror("cannot happen srinc_class");
	return BAD;
}
int
srunc(int n, int m)
{	switch(m) {
	case Q_FULL_F: return n-2;
	case Q_EMPT_F: return n-2-DELTA;
	case Q_EMPT_T: return n-2-2*DELTA;
	case Q_FULL_T: return n-2-3*DELTA;
	case ALPHA_F:
	case TIMEOUT_F: return 257; /* non-zero, and > MAXQ */
	}
	Uerror("cannot happen srunc");
	return 0;
}
#endif
int cnt;
#ifdef HAS_UNLESS
int
isthere(Trans *a, int b)
{	Trans *t;
	for (t = a; t; t = t->nxt)
		if (t->t_id == b)
			return 1;
	return 0;
}
#endif
#ifndef NOREDUCE
int
mark_safety(Trans *t) /* for conditional safety */
{	int g = 0, i, j, k;

	if (!t) return 0;
	if (t->qu[0])
		return (t->qu[1])?2:1;	/* marked */

	for (i = 0; i < 2; i++)
	{	j = srinc_set(t->tpe[i]);
		if (j >= GLOBAL && j != ALPHA_F)
			return -1;
		if (j != LOCAL)
		{	k = srunc(t->tpe[i], j);
			if (g == 0
			||  t->qu[0] != k
			||  t->ty[0] != j)
			{	t->qu[g] = k;
				t->ty[g] = j;
				g++;
	}	}	}
	return g;
}
#endif
void
retrans(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
	/* process n, with m states, is=initial state */
{	Trans *T0, *T1, *T2, *T3;
	Trans *T4, *T5; /* t_reverse or has_unless */
	int i;
#if defined(HAS_UNLESS) || !defined(NOREDUCE)
	int k;
#endif
#ifndef NOREDUCE
	int g, h, j, aa;
#endif
#ifdef HAS_UNLESS
	int p;
#endif
	if (state_tables >= 4)
	{	printf("STEP 1 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	do {
		for (i = 1, cnt = 0; i < m; i++)
		{	T2 = trans[n][i];
			T1 = T2?T2->nxt:(Trans *)0;
/* prescan: */		for (T0 = T1; T0; T0 = T0->nxt)
/* choice in choice */	{	if (T0->st && trans[n][T0->st]
				&&  trans[n][T0->st]->nxt)
					break;
			}
#if 0
		if (T0)
		printf("\tstate %d / %d: choice in choice\n",
		i, T0->st);
#endif
			if (T0)
			for (T0 = T1; T0; T0 = T0->nxt)
			{	T3 = trans[n][T0->st];
				if (!T3->nxt)
				{	T2->nxt = cpytr(T0);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
					continue;
				}
				do {	T3 = T3->nxt;
					T2->nxt = cpytr(T3);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
				} while (T3->nxt);
				cnt++;
			}
		}
	} while (cnt);
	if (state_tables >= 3)
	{	printf("STEP 2 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	for (i = 1; i < m; i++)
	{	if (trans[n][i] && trans[n][i]->nxt) /* optimize */
		{	T1 = trans[n][i]->nxt;
#if 0
			printf("\t\tpull %d (%d) to %d\n",
			T1->st, T1->forw, i);
#endif
			srcln[i] = srcln[T1->st];	/* Oyvind Teig, 5.2.0 */

			if (!trans[n][T1->st]) continue;
			T0 = cpytr(trans[n][T1->st]);
			trans[n][i] = T0;
			reach[T1->st] = 1;
			imed(T0, T1->st, n, i);
			for (T1 = T1->nxt; T1; T1 = T1->nxt)
			{
#if 0
			printf("\t\tpull %d (%d) to %d\n",
				T1->st, T1->forw, i);
#endif
		/*		srcln[i] = srcln[T1->st];  gh: not useful */
				if (!trans[n][T1->st]) continue;
				T0->nxt = cpytr(trans[n][T1->st]);
				T0 = T0->nxt;
				reach[T1->st] = 1;
				imed(T0, T1->st, n, i);
	}	}	}
	if (state_tables >= 2)
	{	printf("STEP 3 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
#ifdef HAS_UNLESS
	for (i = 1; i < m; i++)
	{	if (!trans[n][i]) continue;
		/* check for each state i if an
		 * escape to some state p is defined
		 * if so, copy and mark p's transitions
		 * and prepend them to the transition-
		 * list of state i
		 */
	 if (!like_java) /* the default */
	 {	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->e_trans = p;
				T2->nxt = trans[n][i];
				trans[n][i] = T2;
		}	}
	 } else /* outermost unless checked first */
	 {	T4 = T3 = (Trans *) 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->nxt = (Trans *) 0;
				T2->e_trans = p;
				if (T3)	T3->nxt = T2;
				else	T4 = T2;
				T3 = T2;
		}	}
		if (T4)
		{	T3->nxt = trans[n][i];
			trans[n][i] = T4;
		}
	 }
	}
#endif
#ifndef NOREDUCE
	for (i = 1; i < m; i++)
	{	if (a_cycles)
		{ /* moves through these states are visible */
	#if PROG_LAB>0 && defined(HAS_NP)
			if (progstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (progstate[n][T1->st])
					goto degrade;
	#endif
			if (accpstate[n][i] || visstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (accpstate[n][T1->st])
					goto degrade;
		}
		T1 = trans[n][i];
		if (!T1) continue;
		g = mark_safety(T1);	/* V3.3.1 */
		if (g < 0) goto degrade; /* global */
		/* check if mixing of guards preserves reduction */
		if (T1->nxt)
		{	k = 0;
			for (T0 = T1; T0; T0 = T0->nxt)
			{	if (!(T0->atom&8))
					goto degrade;
				for (aa = 0; aa < 2; aa++)
				{	j = srinc_set(T0->tpe[aa]);
					if (j >= GLOBAL && j != ALPHA_F)
						goto degrade;
					if (T0->tpe[aa]
					&&  T0->tpe[aa]
					!=  T1->tpe[0])
						k = 1;
			}	}
			/* g = 0;	V3.3.1 */
			if (k)	/* non-uniform selection */
			for (T0 = T1; T0; T0 = T0->nxt)
			for (aa = 0; aa < 2; aa++)
			{	j = srinc_set(T0->tpe[aa]);
				if (j != LOCAL)
				{	k = srunc(T0->tpe[aa], j);
					for (h = 0; h < 6; h++)
						if (T1->qu[h] == k
						&&  T1->ty[h] == j)
							break;
					if (h >= 6)
					{	T1->qu[g%6] = k;
						T1->ty[g%6] = j;
						g++;
			}	}	}
			if (g > 6)
			{	T1->qu[0] = 0;	/* turn it off */
				printf("pan: warning, line %d, ",
					srcln[i]);
			 	printf("too many stmnt types (%d)",
					g);
			  	printf(" in selection\n");
			  goto degrade;
			}
		}
		/* mark all options global if >=1 is global */
		for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			if (!(T1->atom&8)) break;
		if (T1)
degrade:	for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			T1->atom &= ~8;	/* mark as unsafe */
		/* can only mix 'r's or 's's if on same chan */
		/* and not mixed with other local operations */
		T1 = trans[n][i];
		if (!T1 || T1->qu[0]) continue;
		j = T1->tpe[0];
		if (T1->nxt && T1->atom&8)
		{ if (j == 5*DELTA)
		  {	printf("warning: line %d ", srcln[i]);
			printf("mixed condition ");
			printf("(defeats reduction)\n");
			goto degrade;
		  }
		  for (T0 = T1; T0; T0 = T0->nxt)
		  for (aa = 0; aa < 2; aa++)
		  if  (T0->tpe[aa] && T0->tpe[aa] != j)
		  {	printf("warning: line %d ", srcln[i]);
			printf("[%d-%d] mixed %stion ",
				T0->tpe[aa], j, 
				(j==5*DELTA)?"condi":"selec");
			printf("(defeats reduction)\n");
			printf("	'%s' <-> '%s'\n",
				T1->tp, T0->tp);
			goto degrade;
		} }
	}
#endif
	for (i = 1; i < m; i++)
	{	T2 = trans[n][i];
		if (!T2
		||  T2->nxt
		||  strncmp(T2->tp, ".(goto)", 7)
		||  !stopstate[n][i])
			continue;
		stopstate[n][T2->st] = 1;
	}
	if (state_tables && !verbose)
	{	if (dodot)
		{	char buf[256], *q = buf, *p = procname[n];
			while (*p != '\0')
			{	if (*p != ':')
				{	*q++ = *p;
				}
				p++;
			}
			*q = '\0';
			printf("digraph ");
			switch (Btypes[n]) {
			case I_PROC:  printf("init {\n"); break;
			case N_CLAIM: printf("claim_%s {\n", buf); break;
			case E_TRACE: printf("notrace {\n"); break;
			case N_TRACE: printf("trace {\n"); break;
			default:      printf("p_%s {\n", buf); break;
			}
			printf("size=\"8,10\";\n");
			printf("  GT [shape=box,style=dotted,label=\"%s\"];\n", buf);
			printf("  GT -> S%d;\n", is);
		} else
		{	switch (Btypes[n]) {
			case I_PROC:  printf("init\n"); break;
			case N_CLAIM: printf("claim %s\n", procname[n]); break;
			case E_TRACE: printf("notrace assertion\n"); break;
			case N_TRACE: printf("trace assertion\n"); break;
			default:      printf("proctype %s\n", procname[n]); break;
		}	}
		for (i = 1; i < m; i++)
		{	reach[i] = 1;
		}
		tagtable(n, m, is, srcln, reach);
		if (dodot) printf("}\n");
	} else
	for (i = 1; i < m; i++)
	{	int nrelse;
		if (Btypes[n] != N_CLAIM)
		{	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			{	if (T0->st == i
				&& strcmp(T0->tp, "(1)") == 0)
				{	printf("error: proctype '%s' ",
						procname[n]);
		  			printf("line %d, state %d: has un",
						srcln[i], i);
					printf("conditional self-loop\n");
					pan_exit(1);
		}	}	}
		nrelse = 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		{	if (strcmp(T0->tp, "else") == 0)
				nrelse++;
		}
		if (nrelse > 1)
		{	printf("error: proctype '%s' state",
				procname[n]);
		  	printf(" %d, inherits %d", i, nrelse);
		  	printf(" 'else' stmnts\n");
			pan_exit(1);
	}	}
#if !defined(LOOPSTATE) && !defined(BFS_PAR)
	if (state_tables)
#endif
	do_dfs(n, m, is, srcln, reach, lpstate);

	if (!t_reverse)
	{	return;
	}
	/* process n, with m states, is=initial state -- reverse list */
	if (!state_tables && Btypes[n] != N_CLAIM)
	{	for (i = 1; i < m; i++)
		{	Trans *Tx = (Trans *) 0; /* list of escapes */
			Trans *Ty = (Trans *) 0; /* its tail element */
			T1 = (Trans *) 0; /* reversed list */
			T2 = (Trans *) 0; /* its tail */
			T3 = (Trans *) 0; /* remembers possible 'else' */

			/* find unless-escapes, they should go first */
			T4 = T5 = T0 = trans[n][i];
	#ifdef HAS_UNLESS
			while (T4 && T4->e_trans) /* escapes are first in orig list */
			{	T5 = T4;	  /* remember predecessor */
				T4 = T4->nxt;
			}
	#endif
			/* T4 points to first non-escape, T5 to its parent, T0 to original list */
			if (T4 != T0)		 /* there was at least one escape */
			{	T3 = T5->nxt;		 /* start of non-escapes */
				T5->nxt = (Trans *) 0;	 /* separate */
				Tx = T0;		 /* start of the escapes */
				Ty = T5;		 /* its tail */
				T0 = T3;		 /* the rest, to be reversed */
			}
			/* T0 points to first non-escape, Tx to the list of escapes, Ty to its tail */

			/* first tail-add non-escape transitions, reversed */
			T3 = (Trans *) 0;
			for (T5 = T0; T5; T5 = T4)
			{	T4 = T5->nxt;
	#ifdef HAS_UNLESS
				if (T5->e_trans)
				{	printf("error: cannot happen!\n");
					continue;
				}
	#endif
				if (strcmp(T5->tp, "else") == 0)
				{	T3 = T5;
					T5->nxt = (Trans *) 0;
				} else
				{	T5->nxt = T1;
					if (!T1) { T2 = T5; }
					T1 = T5;
			}	}
			/* T3 points to a possible else, which is removed from the list */
			/* T1 points to the reversed list so far (without escapes) */
			/* T2 points to the tail element -- where the else should go */
			if (T2 && T3)
			{	T2->nxt = T3;	/* add else */
			} else
			{	if (T3) /* there was an else, but there's no tail */
				{	if (!T1)	/* and no reversed list */
					{	T1 = T3; /* odd, but possible */
					} else		/* even stranger */
					{	T1->nxt = T3;
			}	}	}

			/* add in the escapes, to that they appear at the front */
			if (Tx && Ty) { Ty->nxt = T1; T1 = Tx; }

			trans[n][i] = T1;
			/* reversed, with escapes first and else last */
	}	}
	if (state_tables && verbose)
	{	printf("FINAL proctype %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
	}
}
void
imed(Trans *T, int v, int n, int j)	/* set intermediate state */
{	progstate[n][T->st] |= progstate[n][v];
	accpstate[n][T->st] |= accpstate[n][v];
	stopstate[n][T->st] |= stopstate[n][v];
	mapstate[n][j] = T->st;
}
void
tagtable(int n, int m, int is, short srcln[], uchar reach[])
{	Trans *z;

	if (is >= m || !trans[n][is]
	||  is <= 0 || reach[is] == 0)
		return;
	reach[is] = 0;
	if (state_tables)
	for (z = trans[n][is]; z; z = z->nxt)
	{	if (dodot)
			dot_crack(n, is, z);
		else
			crack(n, is, z, srcln);
	}

	for (z = trans[n][is]; z; z = z->nxt)
	{
#ifdef HAS_UNLESS
		int i, j;
#endif
		tagtable(n, m, z->st, srcln, reach);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			tagtable(n, m, j, srcln, reach);
		}
#endif
	}
}

extern Trans *t_id_lkup[];

void
dfs_table(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	Trans *z;

	if (is >= m || is <= 0 || !trans[n][is])
		return;
	if ((reach[is] & (4|8|16)) != 0)
	{	if ((reach[is] & (8|16)) == 16)	/* on stack, not yet recorded */
		{	lpstate[is] = 1;
			reach[is] |= 8; /* recorded */
			if (state_tables && verbose)
			{	printf("state %d line %d is a loopstate\n", is, srcln[is]);
		}	}
		return;
	}
	reach[is] |= (4|16);	/* visited | onstack */
	for (z = trans[n][is]; z; z = z->nxt)
	{	t_id_lkup[z->t_id] = z;
#ifdef HAS_UNLESS
		int i, j;
#endif
		dfs_table(n, m, z->st, srcln, reach, lpstate);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			dfs_table(n, m, j, srcln, reach, lpstate);
		}
#endif
	}
	reach[is] &= ~16; /* no longer on stack */
}
void
do_dfs(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	int i;
	dfs_table(n, m, is, srcln, reach, lpstate);
	for (i = 0; i < m; i++)
		reach[i] &= ~(4|8|16);
}
void
crack(int n, int j, Trans *z, short srcln[])
{	int i;

	if (!z) return;
	printf("	state %3d -(tr %3d)-> state %3d  ",
		j, z->forw, z->st);
	printf("[id %3d tp %3d", z->t_id, z->tpe[0]);
	if (z->tpe[1]) printf(",%d", z->tpe[1]);
#ifdef HAS_UNLESS
	if (z->e_trans)
		printf(" org %3d", z->e_trans);
	else if (state_tables >= 2)
	for (i = 0; i < HAS_UNLESS; i++)
	{	if (!z->escp[i]) break;
		printf(" esc %d", z->escp[i]);
	}
#endif
	printf("]");
	printf(" [%s%s%s%s%s] %s:%d => ",
		z->atom&6?"A":z->atom&32?"D":"-",
		accpstate[n][j]?"a" :"-",
		stopstate[n][j]?"e" : "-",
		progstate[n][j]?"p" : "-",
		z->atom & 8 ?"L":"G",
		PanSource, srcln[j]);
	for (i = 0; z->tp[i]; i++)
		if (z->tp[i] == '\n')
			printf("\\n");
		else
			putchar(z->tp[i]);
	if (verbose && z->qu[0])
	{	printf("\t[");
		for (i = 0; i < 6; i++)
			if (z->qu[i])
				printf("(%d,%d)",
				z->qu[i], z->ty[i]);
		printf("]");
	}
	printf("\n");
	fflush(stdout);
}
/* spin -a m.pml; cc -o pan pan.c; ./pan -D | dot -Tps > foo.ps; ps2pdf foo.ps */
void
dot_crack(int n, int j, Trans *z)
{	int i;

	if (!z) return;
	printf("	S%d -> S%d  [color=black", j, z->st);

	if (z->atom&6) printf(",style=dashed");
	else if (z->atom&32) printf(",style=dotted");
	else if (z->atom&8) printf(",style=solid");
	else printf(",style=bold");

	printf(",label=\"");
	for (i = 0; z->tp[i]; i++)
	{	if (z->tp[i] == '\\'
		&&  z->tp[i+1] == 'n')
		{	i++; printf(" ");
		} else
		{	putchar(z->tp[i]);
	}	}
	printf("\"];\n");
	if (accpstate[n][j]) printf("  S%d [color=red,style=bold];\n", j);
	else if (progstate[n][j]) printf("  S%d [color=green,style=bold];\n", j);
	if (stopstate[n][j]) printf("  S%d [color=blue,style=bold,shape=box];\n", j);
}

#ifdef VAR_RANGES
#define BYTESIZE	32	/* 2^8 : 2^3 = 256:8 = 32 */

typedef struct Vr_Ptr {
	char	*nm;
	uchar	vals[BYTESIZE];
	struct Vr_Ptr *nxt;
} Vr_Ptr;
Vr_Ptr *ranges = (Vr_Ptr *) 0;

void
logval(char *s, int v)
{	Vr_Ptr *tmp;

	if (v<0 || v > 255) return;
	for (tmp = ranges; tmp; tmp = tmp->nxt)
		if (!strcmp(tmp->nm, s))
			goto found;
	tmp = (Vr_Ptr *) emalloc(sizeof(Vr_Ptr));
	tmp->nxt = ranges;
	ranges = tmp;
	tmp->nm = s;
found:
	tmp->vals[(v)/8] |= 1<<((v)%8);
}

void
dumpval(uchar X[], int range)
{	int w, x, i, j = -1;

	for (w = i = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
from:		if ((X[w] & (1<<x)))
		{	printf("%d", i);
			j = i;
			goto upto;
	}	}
	return;
	for (w = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
upto:		if (!(X[w] & (1<<x)))
		{	if (i-1 == j)
				printf(", ");
			else
				printf("-%d, ", i-1);
			goto from;
	}	}
	if (j >= 0 && j != 255)
		printf("-255");
}

void
dumpranges(void)
{	Vr_Ptr *tmp;
	printf("\nValues assigned within ");
	printf("interval [0..255]:\n");
	for (tmp = ranges; tmp; tmp = tmp->nxt)
	{	printf("\t%s\t: ", tmp->nm);
		dumpval(tmp->vals, BYTESIZE);
		printf("\n");
	}
}
#endif
