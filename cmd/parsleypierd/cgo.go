package main

import "C" // the platform interposes on the C library, so the program is linked to it
