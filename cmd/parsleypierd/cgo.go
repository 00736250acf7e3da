package main

import "C" // links the program to the C library, which the platform interposes on
