"""Codecs of geraniumhall: conversion between bytes and typed values."""
